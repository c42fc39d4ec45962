any|INSERT INTO lending_7.loans VALUES (42, 9)
any|INSERT INTO lending_7.loans (title) VALUES (9)
any|INSERT INTO lending_7.loans (member, title) VALUES (42, 9), (43, 9)
any|INSERT INTO lending_7.loans (member, title) VALUES (NULL, 9)
any|INSERT INTO lending_7.loans (member, title) VALUES (40 + 2, 9)
any|INSERT INTO lending_7.loans (member, title) SELECT member, title FROM lending_7.holds
any|INSERT INTO lending_7.loans (member, title) SELECT * FROM lending_7.holds
any|INSERT INTO lending_7.loans (member, title) SELECT 42, 9 UNION ALL SELECT member, title FROM lending_7.holds
any|INSERT INTO lending_7.other (member) VALUES (42)
any|INSERT INTO lending_7.loans DEFAULT VALUES
any|UPDATE lending_7.loans SET due = '2026-01-01'
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE title = 9
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member = 42 OR title = 9
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE NOT member = 42
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member <> 42
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member > 42
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member IN (42, 43)
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member NOT IN (42)
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member IN (SELECT id FROM lending_7.members)
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member = title
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member + 0 = 42
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE abs(member) = 42
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member = (SELECT 42)
any|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member = ?
any|UPDATE lending_7.loans SET member = 43 WHERE member = 42
any|UPDATE lending_7.loans SET member = member + 1 WHERE member = 42
any|UPDATE lending_7.loans SET member = (SELECT 1) WHERE member = 42
any|UPDATE lending_7.loans SET due = 1 WHERE member = 42.5
any|UPDATE lending_7.loans SET due = 1 WHERE member BETWEEN 42 AND 42
any|UPDATE lending_7.loans SET due = 1 WHERE member LIKE '42'
any|UPDATE lending_7.loans SET due = 1 WHERE member = NULL
any|DELETE FROM lending_7.loans
any|DELETE FROM lending_7.loans WHERE 1 = 1
any|DELETE FROM lending_7.loans WHERE title = 3
any|DELETE FROM lending_7.loans WHERE member = 42 OR 1 = 1
any|DELETE FROM lending_7.loans WHERE member IN (1, 2, 3)
any|DELETE FROM lending_7.loans WHERE other.member = 42
any|DELETE FROM lending_7.unknown WHERE member = 42
any|DELETE FROM lending_7.loans WHERE member = 42; DELETE FROM lending_7.loans WHERE member = 43
any|SELECT 1; DELETE FROM lending_7.loans
any|SELECT 1;SELECT 2
any|;;SELECT 1; DROP TABLE lending_7.loans;
any|BEGIN; DELETE FROM lending_7.loans; COMMIT
any|DROP TABLE lending_7.loans
any|DROP VIEW lending_7.v
any|TRUNCATE TABLE lending_7.loans
any|TRUNCATE lending_7.loans
any|ALTER TABLE lending_7.loans ADD COLUMN x INT
any|CREATE TABLE lending_7.x (id INT)
any|CREATE TABLE lending_7.x AS SELECT * FROM lending_7.loans
any|CREATE VIEW lending_7.v AS SELECT 1
any|CREATE INDEX i ON lending_7.loans (member)
any|CREATE OR REPLACE VIEW lending_7.v AS SELECT 1
any|CREATE TEMPORARY TABLE x AS SELECT 1 AS a
any|GRANT SELECT ON lending_7.loans TO desk
any|REVOKE SELECT ON lending_7.loans FROM desk
any|CALL lending_7.close_day()
any|EXECUTE close_day
any|EXEC close_day
any|PREPARE p AS DELETE FROM lending_7.loans
any|DEALLOCATE p
any|SET search_path = lending_7
any|RESET ALL
any|USE lending_7
any|BEGIN
any|COMMIT
any|ROLLBACK
any|SAVEPOINT a
any|START TRANSACTION
any|LOCK TABLE lending_7.loans
any|ANALYZE lending_7.loans
any|VACUUM
any|COMMENT ON TABLE lending_7.loans IS 'x'
any|SELECT * INTO lending_7.copy FROM lending_7.loans
any|SELECT member INTO x FROM lending_7.loans WHERE member = 42
any|SELECT * FROM lending_7.loans WHERE member = 42 FOR UPDATE
any|SELECT * FROM lending_7.loans WHERE member = 42 FOR UPDATE OF loans NOWAIT
any|SELECT * FROM lending_7.loans WHERE member = 42 FOR SHARE
any|SELECT * FROM (SELECT * FROM lending_7.loans FOR UPDATE) x
any|WITH gone AS (DELETE FROM lending_7.loans RETURNING *) SELECT * FROM gone
any|WITH gone AS (DELETE FROM lending_7.loans WHERE member = 42 RETURNING *) SELECT count(*) FROM gone
any|WITH a AS (SELECT 1), b AS (UPDATE lending_7.loans SET due = NULL RETURNING *) SELECT * FROM a, b
any|WITH a AS (INSERT INTO lending_7.loans (member) VALUES (42) RETURNING *) SELECT * FROM a
any|WITH a AS (INSERT INTO lending_7.loans (member) VALUES (42) RETURNING *) INSERT INTO lending_7.loans (member) VALUES (42)
any|WITH a AS (DELETE FROM lending_7.holds RETURNING *) UPDATE lending_7.loans SET due = 1 WHERE member = 42
any|SELECT nextval('loan_ids')
any|SELECT setval('loan_ids', 1)
any|SELECT currval('loan_ids')
any|SELECT lending_7.close_day()
any|SELECT close_day()
any|SELECT close_day(member) FROM lending_7.loans WHERE member = 42
any|SELECT upper(close_day(1))
any|SELECT * FROM close_day(1)
any|SELECT * FROM lending_7.close_day(1) AS d
any|SELECT * FROM lending_7.loans WHERE close_day(1) = 1
any|SELECT * FROM lending_7.loans WHERE member = 42 ORDER BY close_day(due)
any|SELECT CASE WHEN close_day() THEN 1 END
any|SELECT mine.upper('x')
any|SELECT "CLOSE_DAY"(1)
any|SELECT EXISTS (SELECT close_day())
any|SELECT * FROM lending_7.loans l JOIN lending_7.titles t ON close_day(t.id) = l.title WHERE l.member = 42
any|SELECT sum(close_day(member)) FROM lending_7.loans
any|SELECT 1 UNION SELECT close_day()
any|VALUES (close_day())
any|EXPLAIN DELETE FROM lending_7.loans
any|EXPLAIN ANALYZE DELETE FROM lending_7.loans
any|EXPLAIN ANALYZE WITH g AS (DELETE FROM lending_7.loans RETURNING *) SELECT * FROM g
any|EXPLAIN ANALYZE SELECT close_day()
any|EXPLAIN EXPLAIN SELECT 1
any|SHOW TABLES
any|DESCRIBE lending_7.loans
any|SELECT * FROM lending_7.loans WHERE card = 'a\'; DELETE FROM lending_7.loans; --'
any|SELECT 'a\' , close_day(), 'b'
any|SELECT 1 --'; DELETE FROM lending_7.loans
any|SELECT 'unclosed
any|SELECT "unclosed
any|SELECT 1 /* unclosed
any|SELECT 1 /* a /* b */ ; DELETE FROM lending_7.loans -- */
any|SELECT 1 /*! ; DELETE FROM lending_7.loans */
any|SELECT 1 /*!50000 , close_day() */
any|SELECT 1 /*M! , close_day() */
any|SELECT /*+ SET_VAR(sql_mode='') */ 1
any|SELECT 5--1
any|SELECT 5 --close_day()
any|SELECT 1 # DELETE
any|SELECT $$a$$
any|SELECT $x$ ; DELETE FROM lending_7.loans $x$
any|SELECT @a := 5
any|SELECT @@version
any|SELECT U&'\0041'
any|SELECT q'[it's]'
any|SELECT 0x1F
any|SELECT é FROM lending_7.loans
any|SELECT a b c d FROM lending_7.loans
any|SELEC * FROM lending_7.loans
any|DELETE
any|SELECT
any|SELECT FROM WHERE
any|SELECT ((((((((((((((((((((((((((((((((((((1))))))))))))))))))))))))))))))))))))
any|()
any|;
any|DO 'x'
any|TABLE lending_7.loans
any|HANDLER lending_7.loans OPEN
any|IMPORT TABLE FROM 'x'
any|KILL 5
any|SELECT member FROM lending_7.loans WHERE member = 42 INTO OUTFILE '/tmp/x'
any|SELECT t.nextval FROM lending_7.loan_ids t
any|SELECT NEXT VALUE FOR lending_7.loan_ids
any|MERGE INTO lending_7.loans t USING lending_7.holds s ON t.member = s.member WHEN MATCHED THEN DELETE
any|MERGE INTO lending_7.loans t USING (VALUES (42, 1), (43, 1)) AS s(member, title) ON t.member = s.member WHEN MATCHED THEN DELETE
any|MERGE INTO lending_7.loans t USING (SELECT 42 AS member) s ON t.member = s.member WHEN MATCHED THEN UPDATE SET member = 43
any|MERGE INTO lending_7.loans t USING (SELECT 42 AS member) s ON t.title = s.member WHEN MATCHED THEN DELETE
any|MERGE INTO lending_7.loans t USING (SELECT 42 AS member) s ON t.member = s.member WHEN NOT MATCHED THEN INSERT (title) VALUES (3)
any|MERGE INTO lending_7.loans t USING (SELECT 42 AS member) s ON t.member = s.member WHEN NOT MATCHED THEN INSERT (member) VALUES (43)
any|MERGE INTO lending_7.loans t USING (SELECT 42 AS member) s ON t.member = s.member WHEN NOT MATCHED BY SOURCE THEN DELETE
postgres|COPY lending_7.loans FROM STDIN
postgres|COPY lending_7.loans TO '/tmp/x'
postgres|COPY (SELECT * FROM lending_7.loans) TO PROGRAM 'sh'
postgres|SELECT pg_sleep(10)
postgres|SELECT pg_notify('a', 'b')
postgres|SELECT set_config('a', 'b', false)
postgres|SELECT pg_advisory_lock(1)
postgres|SELECT pg_terminate_backend(1)
postgres|SELECT dblink_exec('x', 'DELETE FROM y')
postgres|SELECT * FROM dblink('x', 'DELETE FROM y') AS t(a INT)
postgres|SELECT query_to_xml('DELETE FROM y', true, true, '')
postgres|SELECT lo_unlink(5)
postgres|SELECT pg_catalog.pg_sleep(1)
postgres|SELECT pg_catalog . setval('x', 1)
postgres|SELECT "pg_catalog"."setval"('x', 1)
postgres|SELECT "setval"('x', 1)
postgres|SELECT (t).close_day(1) FROM lending_7.loans t
postgres|SELECT * FROM ROWS FROM (close_day(1)) AS x
postgres|SELECT * FROM lending_7.members m, LATERAL close_day(m.id) d
postgres|SELECT 'x'::lending_7.own_type
postgres|SELECT CAST('x' AS lending_7.own_type)
postgres|SELECT a OPERATOR(lending_7.+) b FROM lending_7.t
postgres|SELECT a @@ b FROM lending_7.t
postgres|SELECT a <#> b FROM lending_7.t
postgres|SELECT * FROM lending_7.loans FOR NO KEY UPDATE
postgres|SELECT * FROM lending_7.loans FOR KEY SHARE SKIP LOCKED
postgres|SELECT * FROM lending_7.loans TABLESAMPLE own_method(1)
postgres|DO $$ BEGIN DELETE FROM lending_7.loans; END $$
postgres|LISTEN x
postgres|NOTIFY x
postgres|REFRESH MATERIALIZED VIEW lending_7.v
postgres|REINDEX TABLE lending_7.loans
postgres|CLUSTER lending_7.loans
postgres|DISCARD ALL
postgres|CHECKPOINT
postgres|DECLARE c CURSOR FOR SELECT * FROM lending_7.loans
postgres|FETCH ALL FROM c
postgres|MOVE 5 IN c
postgres|CLOSE c
postgres|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON CONFLICT (title) DO UPDATE SET due = 1
postgres|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON CONFLICT (member) DO UPDATE SET member = 43
postgres|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON CONFLICT ON CONSTRAINT c DO UPDATE SET due = 1
postgres|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) RETURNING close_day()
postgres|INSERT INTO lending_7.loans (member, title) VALUES (42, close_day())
postgres|UPDATE lending_7.loans SET (member, due) = (43, 1) WHERE member = 42
postgres|UPDATE lending_7.loans l SET due = 1 FROM lending_7.members m WHERE m.member = 42
postgres|UPDATE lending_7.loans l SET due = 1 FROM lending_7.members m WHERE member = 42
postgres|UPDATE lending_7.loans SET due = 1 WHERE "Member" = 42
postgres|UPDATE ONLY lending_7.unknown SET due = 1 WHERE member = 42
postgres|DELETE FROM lending_7.loans WHERE CURRENT OF c
postgres|DELETE FROM lending_7.loans USING lending_7.members WHERE lending_7.loans.member = members.id
postgres|DELETE FROM lending_7.loans WHERE member = 42::smallint
postgres|DELETE FROM lending_7.loans WHERE member = CAST(42 AS CHAR(1))
postgres|DELETE FROM lending_7.loans WHERE member = '2026-01-01'::date
postgres|DELETE FROM lending_7.loans WHERE member = '0x2A'
postgres|DELETE FROM lending_7.loans WHERE member = '4_2'
postgres|SELECT * FROM lending_7.loans WHERE member = 42 AND close_day ( ) IS NULL
postgres|SELECT array(SELECT close_day())
postgres|SELECT count(*) FILTER (WHERE close_day()) FROM lending_7.loans
postgres|SELECT sum(x) OVER (ORDER BY close_day()) FROM lending_7.t
postgres|WITH RECURSIVE r AS (SELECT close_day() UNION ALL SELECT 1 FROM r) SELECT * FROM r
postgres|WITH close_day(a) AS (SELECT 1) SELECT close_day(2)
postgres|SELECT * FROM (SELECT 1) AS close_day(a) WHERE close_day(1) = 2
mysql|REPLACE INTO lending_7.loans (member, title) VALUES (42, 9)
mysql|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON DUPLICATE KEY UPDATE due = 1
mysql|LOAD DATA INFILE 'x' INTO TABLE lending_7.loans
mysql|SELECT sleep(5)
mysql|SELECT benchmark(1000000, md5('x'))
mysql|SELECT get_lock('a', 10)
mysql|SELECT load_file('/etc/x')
mysql|SELECT last_insert_id(5)
mysql|SELECT SQL_CALC_FOUND_ROWS * FROM lending_7.loans LIMIT 5
mysql|SELECT * FROM lending_7.loans WHERE member = 42 LOCK IN SHARE MODE
mysql|SELECT 1 INTO @x
mysql|SELECT * FROM lending_7.loans INTO DUMPFILE '/tmp/x'
mysql|SELECT * FROM lending_7.loans PROCEDURE ANALYSE()
mysql|UPDATE lending_7.loans l JOIN lending_7.members m ON m.id = l.member SET l.due = 1 WHERE l.member = 42
mysql|DELETE l, m FROM lending_7.loans l JOIN lending_7.members m ON m.id = l.member WHERE l.member = 42
mysql|UPDATE lending_7.loans SET due = 1 WHERE member = 42 ORDER BY close_day() LIMIT 1
mysql|FLUSH TABLES
mysql|OPTIMIZE TABLE lending_7.loans
mysql|RENAME TABLE lending_7.loans TO lending_7.x
mysql|SELECT "a\" , close_day(), "b"
mysql|SELECT `a\`
mysql|DO sleep(5)
mysql|DO 5
duckdb|ATTACH 'x.db'
duckdb|INSTALL httpfs
duckdb|LOAD httpfs
duckdb|PRAGMA database_list
duckdb|EXPORT DATABASE 'x'
duckdb|COPY lending_7.loans TO 'x.parquet'
duckdb|SELECT * FROM read_csv('x.csv')
duckdb|SELECT * FROM 'x.csv'
duckdb|CREATE MACRO a(x) AS x + 1
duckdb|INSERT OR REPLACE INTO lending_7.loans (member, title) VALUES (42, 9)
duckdb|INSERT INTO lending_7.loans BY NAME SELECT 42 AS member
duckdb|PIVOT lending_7.loans ON branch USING count(*)
duckdb|SUMMARIZE lending_7.loans
sqlite|INSERT OR REPLACE INTO lending_7.loans (member, title) VALUES (42, 9)
sqlite|REPLACE INTO lending_7.loans (member, title) VALUES (42, 9)
sqlite|PRAGMA journal_mode = WAL
sqlite|SELECT load_extension('x')
sqlite|ATTACH DATABASE 'x' AS y
sqlite|SELECT writefile('x', 'y')
trino|CALL system.sync()
trino|INSERT INTO lending_7.loans SELECT * FROM lending_7.holds
trino|SELECT * FROM TABLE(own.query('DELETE FROM x'))
trino|REFRESH MATERIALIZED VIEW lending_7.v
trino|SET SESSION a = 1
postgres|DELETE FROM lending_7.loans USING other.loans WHERE other.loans.member = 42
postgres|DELETE FROM lending_7.loans USING other.loans WHERE loans.member = 42
postgres|DELETE FROM lending_7.loans USING (VALUES (42)) AS loans(member) WHERE loans.member = 42
mysql|DELETE FROM lending_7.loans WHERE member = 42 || 1 = 1
mysql|DELETE FROM lending_7.loans WHERE member = 42 XOR title = 1
mysql|DELETE FROM lending_7.loans WHERE member = 42 = 0
any|DELETE FROM lending_7.loans WHERE (member = 42) = (1 = 0)
