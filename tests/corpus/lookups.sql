any|SELECT title, author FROM lending_7.titles WHERE isbn = '9780143'
any|select * from lending_7.loans where member = 42
any|SELECT l.due FROM lending_3.loans l WHERE l.member = 42 AND l.title = 9
any|SELECT l.due FROM lending_3.loans AS l WHERE l.member = 42 ORDER BY l.due
any|SELECT due FROM lending_3.loans WHERE member = 42 ORDER BY due DESC LIMIT 5
any|SELECT due FROM lending_3.loans WHERE member IN (42, 43, 44)
any|SELECT due FROM lending_3.loans WHERE member IN (SELECT id FROM lending_3.members WHERE card = 'A-17')
any|SELECT t.title FROM lending_3.titles t JOIN lending_3.loans l ON l.title = t.id WHERE l.member = 42
any|SELECT t.title FROM lending_3.titles t LEFT JOIN lending_3.holds h ON h.title = t.id WHERE t.id = 17
any|SELECT t.title FROM lending_3.titles t INNER JOIN lending_3.loans l ON l.title = t.id INNER JOIN lending_3.members m ON m.id = l.member WHERE m.card = 'B-9'
any|SELECT t.title, l.due FROM lending_3.titles t, lending_3.loans l WHERE l.title = t.id AND l.member = 7
any|SELECT 1
any|SELECT 1 + 2 * 3 AS seven
any|SELECT 'x' AS a, 2 AS b
any|SELECT NULL
any|SELECT current_date
any|SELECT CURRENT_TIMESTAMP
any|SELECT upper(title) FROM lending_7.titles WHERE id = 3
any|SELECT lower(trim(title)), length(title) FROM lending_7.titles WHERE id = 3
any|SELECT coalesce(subtitle, title) FROM lending_7.titles WHERE id = 3
any|SELECT CASE WHEN copies > 0 THEN 'in' ELSE 'out' END FROM lending_7.titles WHERE id = 3
any|SELECT CASE state WHEN 1 THEN 'on loan' WHEN 2 THEN 'held' END AS state FROM lending_7.copies WHERE barcode = '771'
any|SELECT CAST(due AS DATE) FROM lending_7.loans WHERE member = 42
any|SELECT round(fine * 1.15, 2) FROM lending_7.fines WHERE member = 42
any|SELECT abs(balance) FROM lending_7.accounts WHERE member = 42
any|SELECT * FROM lending_7.loans WHERE member = 42 AND returned IS NULL
any|SELECT * FROM lending_7.loans WHERE member = 42 AND returned IS NOT NULL
any|SELECT * FROM lending_7.loans WHERE member = 42 AND NOT returned = 1
any|SELECT * FROM lending_7.loans WHERE member = 42 AND (due < '2026-01-01' OR renewed = 0)
any|SELECT * FROM lending_7.loans WHERE member = 42 AND due BETWEEN '2026-01-01' AND '2026-02-01'
any|SELECT * FROM lending_7.titles WHERE id = 4 AND title LIKE 'The %'
any|SELECT * FROM lending_7.titles WHERE id = 4 AND title NOT LIKE '%draft%'
any|SELECT * FROM lending_7.titles LIMIT 20
any|SELECT id, title FROM lending_7.titles LIMIT 20 OFFSET 40
any|SELECT DISTINCT genre FROM lending_7.titles WHERE author = 12
any|SELECT EXISTS (SELECT 1 FROM lending_7.holds WHERE member = 42)
any|SELECT title FROM lending_7.titles t WHERE t.id = 9 AND EXISTS (SELECT 1 FROM lending_7.copies c WHERE c.title = t.id)
any|SELECT title FROM lending_7.titles WHERE id = (SELECT title FROM lending_7.copies WHERE barcode = '9')
any|SELECT (SELECT name FROM lending_7.branches b WHERE b.id = c.branch) FROM lending_7.copies c WHERE c.barcode = '771'
any|WITH mine AS (SELECT * FROM lending_7.loans WHERE member = 42) SELECT due FROM mine
any|WITH a AS (SELECT 1 AS x), b AS (SELECT x FROM a) SELECT x FROM b
any|SELECT due FROM lending_7.loans WHERE member = 42 UNION ALL SELECT due FROM lending_7.holds WHERE member = 42
any|SELECT due FROM lending_7.loans WHERE member = 42 UNION SELECT due FROM lending_7.holds WHERE member = 42
any|SELECT title FROM (SELECT title FROM lending_7.loans WHERE member = 42) AS x
any|SELECT * FROM lending_7.loans WHERE member = ?
any|SELECT * FROM lending_7.loans WHERE member = ? AND title = ?
any|SELECT * FROM lending_7.loans WHERE member = :member
any|SELECT * FROM lending_7.loans WHERE member = -1
any|SELECT * FROM lending_7.loans WHERE 42 = member
any|SELECT * FROM lending_7.loans WHERE (member = 42)
any|SELECT * FROM lending_7.loans WHERE member = 42 AND title <> 9 AND copy != 3
any|SELECT a.id, b.id FROM lending_1.members a JOIN lending_2.members b ON a.card = b.card WHERE a.id = 5
any|SELECT /* desk 4 */ due FROM lending_7.loans WHERE member = 42
any|SELECT due FROM lending_7.loans WHERE member = 42;
any|SELECT member AS "Member No" FROM lending_7.loans WHERE member = 42
any|SELECT concat(first, ' ', last) FROM lending_7.members WHERE id = 42
any|SELECT substring(isbn, 1, 3) FROM lending_7.titles WHERE id = 7
any|SELECT replace(title, 'a', 'b') FROM lending_7.titles WHERE id = 7
any|SELECT nullif(fine, 0) FROM lending_7.fines WHERE member = 42
any|SELECT greatest(fine, 5), least(fine, 90) FROM lending_7.fines WHERE member = 42
any|SELECT floor(fine), ceil(fine) FROM lending_7.fines WHERE member = 42
any|SELECT id FROM lending_7.members WHERE card = 'it''s'
any|SELECT id FROM lending_7.members WHERE card = 'DELETE FROM loans'
any|SELECT id FROM lending_7.members WHERE card = 'a; DROP TABLE b'
any|SELECT id FROM lending_7.members WHERE card = '-- no comment'
any|SELECT id FROM lending_7.members WHERE card = '/* no comment */'
any|SELECT id AS updated, created AS deleted FROM lending_7.members WHERE card = 'x'
any|SELECT l.* FROM lending_7.loans l WHERE l.member = 42
any|SELECT extract(year FROM due) FROM lending_7.loans WHERE member = 42
any|SELECT due FROM lending_7.loans WHERE member = 42 AND title IN ('a', 'b', 'c')
any|SELECT m.id FROM lending_7.members m WHERE m.card = 'x' AND m.born < '2010-01-01'
any|SELECT id FROM lending_7.members WHERE card = 'Ndlovu' AND name = 'Kagišo'
any|SELECT id, id + 1, id - 1, id * 2, id / 2 FROM lending_7.members WHERE card = 'x'
any|SELECT id % 7 FROM lending_7.members WHERE card = 'x'
postgres|SELECT due::date FROM lending_7.loans WHERE member = 42
postgres|SELECT * FROM lending_7.loans WHERE member = $1
postgres|SELECT * FROM lending_7.loans WHERE member = $1 AND due < now() - interval '3 days'
postgres|SELECT * FROM lending_7.loans WHERE member = '42'::bigint
postgres|SELECT "title" FROM "lending_7"."titles" WHERE "id" = 3
postgres|SELECT data->'tags'->>0 FROM lending_7.titles WHERE id = 3
postgres|SELECT data->>'isbn' FROM lending_7.titles WHERE id = 3
postgres|SELECT title || ' by ' || author FROM lending_7.titles WHERE id = 3
postgres|SELECT title FROM lending_7.titles WHERE id = 3 AND title ILIKE 'the%'
postgres|SELECT title FROM lending_7.titles WHERE id = ANY(ARRAY[1, 2]) AND author = 3
postgres|SELECT * FROM lending_7.loans WHERE member = 42 FETCH FIRST 5 ROWS ONLY
postgres|SELECT DISTINCT ON (title) title, due FROM lending_7.loans WHERE member = 42 ORDER BY title, due DESC
postgres|SELECT date_trunc('month', due) FROM lending_7.loans WHERE member = 42
postgres|SELECT to_char(due, 'YYYY-MM') FROM lending_7.loans WHERE member = 42
postgres|SELECT age(due) FROM lending_7.loans WHERE member = 42
postgres|SELECT * FROM generate_series(1, 10) AS g(n)
postgres|SELECT n FROM unnest(ARRAY[1, 2, 3]) AS t(n)
postgres|WITH RECURSIVE up(id, parent) AS (SELECT id, parent FROM lending_7.shelves WHERE id = 4 UNION ALL SELECT s.id, s.parent FROM lending_7.shelves s JOIN up ON s.id = up.parent) SELECT id FROM up
postgres|SELECT l.due FROM lending_7.members m CROSS JOIN LATERAL (SELECT due FROM lending_7.loans x WHERE x.member = m.id LIMIT 1) l WHERE m.id = 42
postgres|SELECT (ARRAY[1, 2])[1]
postgres|SELECT due AT TIME ZONE 'Africa/Johannesburg' FROM lending_7.loans WHERE member = 42
postgres|EXPLAIN SELECT * FROM lending_7.loans WHERE member = 42
postgres|EXPLAIN ANALYZE SELECT * FROM lending_7.loans WHERE member = 42
postgres|EXPLAIN (ANALYZE, BUFFERS) SELECT * FROM lending_7.loans WHERE member = 42
postgres|VALUES (1, 'a'), (2, 'b')
postgres|SELECT E'plain' AS a FROM lending_7.members WHERE id = 4
postgres|SELECT gen_random_uuid()
postgres|SELECT position('a' IN title) FROM lending_7.titles WHERE id = 5
postgres|SELECT overlay(title PLACING 'x' FROM 1 FOR 2) FROM lending_7.titles WHERE id = 5
postgres|SELECT pg_catalog.upper(title) FROM lending_7.titles WHERE id = 5
postgres|SELECT * FROM lending_7.loans WHERE (member, title) IN ((1, 2), (3, 4)) AND copy = 5
mysql|SELECT `title` FROM `lending_7`.`titles` WHERE `id` = 3
mysql|SELECT * FROM lending_7.loans WHERE member = 42 LIMIT 5, 10
mysql|SELECT ifnull(subtitle, 'none') FROM lending_7.titles WHERE id = 3
mysql|SELECT if(copies > 0, 'in', 'out') FROM lending_7.titles WHERE id = 3
mysql|SELECT date_format(due, '%Y-%m') FROM lending_7.loans WHERE member = 42
mysql|SELECT datediff(now(), due) FROM lending_7.loans WHERE member = 42
mysql|SELECT date_add(due, INTERVAL 3 DAY) FROM lending_7.loans WHERE member = 42
mysql|SELECT * FROM lending_7.loans WHERE member <=> 42 AND title = 3
mysql|SELECT title FROM lending_7.titles WHERE id = 3 AND title REGEXP '^The'
mysql|SELECT json_extract(data, '$.isbn') FROM lending_7.titles WHERE id = 3
duckdb|FROM lending_7.loans SELECT due WHERE member = 42
duckdb|SELECT list_value(1, 2, 3)
duckdb|SELECT strftime(due, '%Y') FROM lending_7.loans WHERE member = 42
duckdb|SELECT * FROM lending_7.loans WHERE member = 42 LIMIT 3
duckdb|SELECT try_cast(card AS INTEGER) FROM lending_7.members WHERE id = 4
duckdb|SELECT * FROM range(5) AS r(n)
sqlite|SELECT strftime('%Y', due) FROM lending_7.loans WHERE member = 42
sqlite|SELECT ifnull(subtitle, '') FROM lending_7.titles WHERE id = 3
sqlite|SELECT instr(title, 'a') FROM lending_7.titles WHERE id = 3
sqlite|SELECT julianday('now') - julianday(due) FROM lending_7.loans WHERE member = 42
trino|SELECT date_diff('day', due, current_date) FROM lending_7.loans WHERE member = 42
trino|SELECT json_extract_scalar(data, '$.isbn') FROM lending_7.titles WHERE id = 3
trino|SELECT TRY_CAST(card AS BIGINT) FROM lending_7.members WHERE id = 3
trino|SELECT t.n FROM UNNEST(ARRAY[1, 2]) AS t(n)
