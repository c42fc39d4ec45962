"""Allowlists of node types (by sqlglot name) and functions (by SQL name) without side effects.

A node or function that is not listed makes its statement a write. A function is pure here if running it twice
changes no stored or session state; `random()` and `now()` are pure in this sense, `nextval` is not.
"""


def words(text: str) -> frozenset[str]:
    """Split a string at white space."""
    return frozenset(text.split())


READ_NODES = words("""
    Select Union Except Intersect Subquery Values Tuple From Join Where Group Having Order Ordered Limit
    Offset Fetch LimitOptions With CTE Table TableAlias Alias Aliases Column Identifier Star Literal
    Boolean Null Paren Distinct And Or Not Xor EQ NEQ GT GTE LT LTE NullSafeEQ NullSafeNEQ Is In Between
    Like ILike SimilarTo Escape Glob RegexpLike RegexpILike Add Sub Mul Div Mod IntDiv Neg BitwiseAnd
    BitwiseOr BitwiseXor BitwiseNot BitwiseLeftShift BitwiseRightShift DPipe Case If Cast TryCast
    DataType DataTypeParam Interval IntervalSpan Var Exists Any All Window WindowSpec Filter WithinGroup
    IgnoreNulls RespectNulls Array Bracket Slice Placeholder Parameter Extract Lateral Unnest Cube
    Rollup GroupingSets Dot JSONExtract JSONExtractScalar JSONBExtract JSONBExtractScalar JSONPath
    JSONPathRoot JSONPathKey JSONPathSubscript AtTimeZone Collate Qualify CurrentDate CurrentTime
    CurrentTimestamp CurrentUser Localtime Localtimestamp SessionUser CurrentSchema CurrentDatetime
    UtcDate UtcTime UtcTimestamp Coalesce Concat ConcatWs TableSample Overlaps Adjacent HavingMax Kwarg
    JSONKeyValue JSON JSONArrayAgg TsOrDsToTimestamp TsOrDsToDate TsOrDsToTime TsOrDsDiff TsOrDsAdd
""")

WRITE_NODES = words("""
    Insert Update Delete Merge Whens When Schema OnConflict Returning
""")

# Function names, with the aliases of each database; the operator's file adds those of
# `statements.pure_functions`
PURE_FUNCTIONS = words("""
    abs acos acosd age any_value approx_count_distinct approx_distinct approx_percentile arg_max arg_min
    array array_agg array_append array_cat array_concat array_contains array_distinct array_join
    array_length array_lower array_max array_min array_position array_prepend array_remove array_sort
    array_to_string array_upper ascii asin atan atan2 avg bit_and bit_length bit_or bit_xor bool_and
    bool_or btrim cardinality cast cbrt ceil ceiling char char_length character_length chr coalesce
    collate concat concat_ws contains convert corr cos cosh cot count count_if countif covar_pop
    covar_samp cume_dist curdate current_catalog current_database current_date current_schema
    current_time current_timestamp current_user curtime date date_add date_diff date_format date_part
    date_sub date_trunc datediff day dayname dayofmonth dayofweek dayofyear days decode degrees
    dense_rank div ends_with epoch every exp extract field find_in_set first first_value floor format
    format_number from_unixtime gcd gen_random_uuid generate_series greatest group_concat grouping hex
    hour iff if ifnull ilike initcap instr isfinite isnan isnull json json_agg json_array
    json_array_elements json_array_elements_text json_array_length json_build_array json_build_object
    json_each json_each_text json_extract json_extract_path json_extract_path_text json_extract_scalar
    json_keys json_length json_object json_object_agg json_object_keys json_serialize json_size
    json_type json_typeof json_unquote json_valid json_value jsonb_agg jsonb_array_elements
    jsonb_array_elements_text jsonb_array_length jsonb_build_object jsonb_each jsonb_each_text
    jsonb_extract_path jsonb_extract_path_text jsonb_object_agg jsonb_object_keys jsonb_typeof julianday
    lag last last_day last_value lcase lcm lead least left len length levenshtein list list_value
    listagg ln localtime localtimestamp locate log log10 log2 lower lpad ltrim make_date make_interval
    make_time make_timestamp max max_by md5 median mid min min_by minute mod mode month monthname months
    nanvl now nth_value ntile nullif nvl nvl2 octet_length ord overlay percent_rank percentile_cont
    percentile_disc pi position pow power quantile quantile_cont quarter quote_literal radians rand
    random range rank regexp_count regexp_extract regexp_extract_all regexp_instr regexp_like
    regexp_matches regexp_replace regexp_split_to_array regexp_substr regr_slope repeat replace reverse
    right round row row_number row_to_json rpad rtrim scale second session_user sha1 sha2 sha256 sha512
    sign sin sinh soundex space split split_part split_to_table sqrt starts_with stddev stddev_pop
    stddev_samp str_position str_to_date strftime string_agg string_split string_to_array strpos
    strptime struct_extract substr substring substring_index sum tan tanh time timediff timestamp
    timestampadd timestampdiff to_char to_date to_hex to_json to_jsonb to_number to_seconds to_timestamp
    total translate trim trunc truncate try_cast typeof ucase unhex unicode unix_timestamp unnest upper
    user utc_date utc_time utc_timestamp uuid var_pop var_samp variance week weekday weekofyear
    width_bucket xor year years yearweek date_from_parts datetime datetrunc dateadd date_from_unix_date
    array_size approx_quantile bitwise_and_agg bitwise_or_agg bitwise_xor_agg boolean_and boolean_or
    bool_xor logical_and logical_or group_array json_extract_string json_query char_to_int str_to_time
    time_to_str time_trunc timestamp_trunc timestamp_diff timestamp_add ts_or_ds_add ts_or_ds_diff
    unix_to_time unix_to_str generate_date_array explode exploding_generate_series regexp_split
    array_unique_agg json_array_agg json_objectagg json_arrayagg safe_divide split_by_delimiter
    sortarray sort_array array_filter int64 date_to_date_str current_datetime from_iso8601_timestamp
    from_base64 to_base64 to_unixtime at_timezone lengthb
""")

# Also allowed in loads: they change at most a counter that no key depends on
PURE_LOAD_FUNCTIONS = words("""
    nextval currval lastval uuid_generate_v4 last_insert_rowid newid sysdate
""")

# Functions with side effects, matched by name anywhere, even without parentheses or as an attribute of a row,
# and keywords of statements that write. They are checked against the tokens in addition to the tree, so that
# one that the parser overlooks still makes the statement a write.
SIDE_EFFECT_NAMES = words("""
    nextval setval currval lastval pg_sleep dblink dblink_exec lo_import lo_export lo_unlink pg_notify
    set_config pg_terminate_backend pg_cancel_backend pg_reload_conf query_to_xml sleep benchmark
    get_lock release_lock load_file sys_exec sys_eval last_insert_id setseed pg_advisory_lock
    pg_advisory_xact_lock pg_try_advisory_lock pg_logical_emit_message pg_switch_wal pg_read_file
    txid_current
""")
WRITE_KEYWORDS = words("""
    insert update delete merge into truncate drop alter create grant revoke outfile dumpfile lock
    sql_calc_found_rows high_priority
""")

# First keywords of statements other than queries and loads. They are also valid names, so they are matched
# only after an opening parenthesis, where a query could start, and if another word follows.
STATEMENT_KEYWORDS = words("""
    call execute exec do set reset use begin commit rollback savepoint start copy show describe desc handler
    import export load unload kill prepare deallocate listen notify unlisten vacuum reindex cluster refresh
    analyze checkpoint discard declare fetch move close comment attach detach install pragma summarize pivot
    flush optimize rename table explain replace security reassign abort end release upsert put get
""")

# Words that may precede an opening parenthesis without being a function call
NON_FUNCTION_WORDS = words("""
    in values and or not on using as from join select where when then else case over filter group within
    by any some all exists union except intersect distinct having limit between like ilike is lateral
    interval with recursive materialized table offset fetch cross inner outer left right full natural
    set end only rollup cube sets grouping cast rows range window return returning explain analyze
    partition order escape similar to add into key conflict nothing into default bigint int integer
    smallint tinyint numeric decimal dec float real double precision varchar char character varying text
    timestamp timestamptz time timetz datetime date bit binary varbinary blob json array row struct map
    number nvarchar nchar string
""")
