any|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9)
any|42|INSERT INTO lending_7.loans (title, member) VALUES (9, 42)
any|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9), (42, 10), (42, 11)
any|42|INSERT INTO lending_7.loans (member, title) VALUES ('42', 9)
any|42|INSERT INTO lending_7.loans (member, title, due) VALUES (42, 9, current_date)
any|42|INSERT INTO lending_7.loans (member, title) SELECT 42, id FROM lending_7.titles WHERE author = 3
any|42|INSERT INTO lending_7.loans (member, title) SELECT 42, id FROM lending_7.titles WHERE author = 3 UNION ALL SELECT 42, 8
any|42|INSERT INTO LENDING_7.LOANS (MEMBER, TITLE) VALUES (42, 9)
any|42|INSERT INTO loans (member, title) VALUES (42, 9)
any|42|UPDATE lending_7.loans SET due = '2026-01-01' WHERE member = 42
any|42|UPDATE lending_7.loans SET due = '2026-01-01' WHERE 42 = member
any|42|UPDATE lending_7.loans SET due = '2026-01-01' WHERE title = 9 AND (member = 42)
any|42|UPDATE lending_7.loans SET due = '2026-01-01', renewed = renewed + 1 WHERE member = 42 AND title = 9
any|42|UPDATE lending_7.loans SET member = 42 WHERE member = 42
any|42|UPDATE lending_7.loans SET due = due WHERE member IN (42)
any|42|UPDATE lending_7.loans SET due = due WHERE member IN (42, 42)
any|42|UPDATE lending_7.loans SET due = due WHERE member = '42'
any|42|UPDATE lending_7.loans SET due = due WHERE member = CAST('42' AS BIGINT)
any|42|UPDATE lending_7.loans SET due = due WHERE member = 42 AND (renewed = 1 OR renewed = 2)
any|42|DELETE FROM lending_7.loans WHERE member = 42
any|42|DELETE FROM lending_7.loans WHERE member = 42;
any|42|DELETE FROM lending_7.loans WHERE member = 042
any|42|DELETE FROM lending_7.loans WHERE member = 42.0
any|42|delete from lending_7.loans where member = 42 and title = 9
any|42|DELETE /* gone */ FROM lending_7.loans WHERE member = 42 AND EXISTS (SELECT 1 FROM lending_7.titles WHERE id = 9)
any|-42|DELETE FROM lending_7.loans WHERE member = -42
any|abc|DELETE FROM lending_7.loans WHERE member = 'abc'
any|abc|DELETE FROM lending_7.loans WHERE member = 'ABC '
postgres|42|UPDATE lending_7.loans AS l SET due = now() WHERE l.member = 42
postgres|42|UPDATE lending_7.loans l SET due = t.due FROM lending_7.titles t WHERE t.id = l.title AND l.member = 42
postgres|42|DELETE FROM lending_7.loans l USING lending_7.titles t WHERE l.title = t.id AND l.member = 42::int
postgres|42|UPDATE "lending_7"."loans" SET due = now() WHERE "member" = 42
postgres|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON CONFLICT DO NOTHING
postgres|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) ON CONFLICT (member, title) DO UPDATE SET due = excluded.due
postgres|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9) RETURNING id
postgres|42|INSERT INTO lending_7.loans (id, member) VALUES (nextval('loan_ids'), 42)
postgres|42|INSERT INTO lending_7.loans (id, member) VALUES (gen_random_uuid(), 42)
postgres|42|WITH t AS (SELECT id FROM lending_7.titles WHERE author = 3) DELETE FROM lending_7.loans WHERE member = 42 AND title IN (SELECT id FROM t)
postgres|42|MERGE INTO lending_7.loans t USING (VALUES (42, 9)) AS s(member, title) ON t.member = s.member AND t.title = s.title WHEN MATCHED THEN UPDATE SET due = now() WHEN NOT MATCHED THEN INSERT (member, title) VALUES (s.member, s.title)
postgres|42|MERGE INTO lending_7.loans t USING (SELECT 42 AS member, 9 AS title) s ON t.member = s.member WHEN MATCHED THEN DELETE
postgres|42|MERGE INTO lending_7.loans t USING lending_7.titles s ON t.title = s.id AND t.member = 42 WHEN MATCHED THEN UPDATE SET due = s.due
postgres|42|DELETE FROM main.lending_7.loans WHERE member = 42
mysql|42|UPDATE `lending_7`.`loans` SET `due` = now() WHERE `member` = 42
mysql|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9)
duckdb|42|INSERT INTO lending_7.loans (member, title) VALUES (42, 9)
sqlite|42|DELETE FROM lending_7.loans WHERE member = 42
mysql|42|INSERT INTO lending_7.loans SET member = 42, title = 9
