any|SELECT count(*) FROM lending_7.loans
any|SELECT count(*) FROM lending_7.loans WHERE member = 42
any|SELECT branch, count(*) FROM lending_7.loans GROUP BY branch
any|SELECT branch, count(*) AS n FROM lending_7.loans GROUP BY branch ORDER BY n DESC
any|SELECT branch, count(*) FROM lending_7.loans GROUP BY 1 ORDER BY 2 DESC LIMIT 10
any|SELECT branch, count(DISTINCT member) FROM lending_7.loans GROUP BY branch
any|SELECT branch, sum(fine), avg(fine), min(fine), max(fine) FROM lending_7.fines GROUP BY branch HAVING sum(fine) > 100
any|SELECT sum(fine) FROM lending_7.fines WHERE due < '2026-01-01'
any|SELECT genre, avg(pages) FROM lending_7.titles WHERE genre IN ('a', 'b') GROUP BY genre
any|SELECT * FROM lending_7.loans
any|SELECT * FROM lending_7.loans ORDER BY due
any|SELECT * FROM lending_7.loans ORDER BY due DESC LIMIT 10
any|SELECT * FROM lending_7.loans ORDER BY due LIMIT 100000
any|SELECT * FROM lending_7.loans LIMIT 100000
any|SELECT title FROM lending_7.titles WHERE title LIKE '%river%'
any|SELECT title FROM lending_7.titles WHERE year > 1990
any|SELECT title FROM lending_7.titles WHERE year BETWEEN 1990 AND 1999
any|SELECT title FROM lending_7.titles WHERE NOT year = 1990
any|SELECT title FROM lending_7.titles WHERE year IS NULL
any|SELECT title FROM lending_7.titles WHERE 1 = 1
any|SELECT title FROM lending_7.titles WHERE id = 3 OR year > 1990
any|SELECT DISTINCT genre FROM lending_7.titles
any|SELECT t.title, l.due FROM lending_7.titles t JOIN lending_7.loans l ON l.title = t.id
any|SELECT t.title FROM lending_7.titles t, lending_7.loans l WHERE l.title = t.id
any|SELECT a.id FROM lending_7.a a JOIN lending_7.b b ON a.x = b.x JOIN lending_7.c c ON b.x = c.x JOIN lending_7.d d ON c.x = d.x JOIN lending_7.e e ON d.x = e.x WHERE a.id = 5
any|SELECT a.id FROM lending_7.a a, lending_7.b b, lending_7.c c, lending_7.d d, lending_7.e e WHERE a.id = 5 AND b.x = a.x
any|SELECT title, row_number() OVER (PARTITION BY branch ORDER BY due) FROM lending_7.loans WHERE member = 42
any|SELECT title, rank() OVER (ORDER BY loans DESC) FROM lending_7.titles
any|SELECT title, sum(fine) OVER (PARTITION BY member) FROM lending_7.fines WHERE member = 42
any|SELECT title, lag(due, 1) OVER (ORDER BY due) FROM lending_7.loans
any|SELECT title, avg(x) OVER (ORDER BY due ROWS BETWEEN 6 PRECEDING AND CURRENT ROW) FROM lending_7.days
any|WITH m AS (SELECT branch, count(*) AS n FROM lending_7.loans GROUP BY branch) SELECT * FROM m WHERE n > 10
any|WITH m AS (SELECT * FROM lending_7.loans) SELECT branch FROM m
any|SELECT x.n FROM (SELECT count(*) AS n FROM lending_7.loans) x
any|SELECT due FROM lending_7.loans UNION ALL SELECT due FROM lending_7.holds
any|SELECT due FROM lending_7.loans WHERE member = 42 UNION ALL SELECT due FROM lending_7.holds
any|SELECT count(*) FROM lending_7.loans UNION ALL SELECT count(*) FROM lending_7.holds
any|SELECT id FROM lending_7.members EXCEPT SELECT member FROM lending_7.loans
any|SELECT id FROM lending_7.members INTERSECT SELECT member FROM lending_7.loans
any|SELECT branch, extract(year FROM due) AS y, count(*) FROM lending_7.loans GROUP BY branch, extract(year FROM due)
any|SELECT branch, sum(CASE WHEN returned IS NULL THEN 1 ELSE 0 END) FROM lending_7.loans GROUP BY branch
any|SELECT max(due) - min(due) FROM lending_7.loans
any|SELECT title FROM lending_7.titles WHERE id NOT IN (SELECT title FROM lending_7.loans WHERE due > '2026-01-01') ORDER BY title
any|SELECT m.name, (SELECT count(*) FROM lending_7.loans l WHERE l.member = m.id) FROM lending_7.members m
any|SELECT stddev(fine), variance(fine) FROM lending_7.fines
any|SELECT genre FROM lending_7.titles GROUP BY genre
any|SELECT member FROM lending_7.loans GROUP BY member HAVING count(*) > 5
postgres|SELECT date_trunc('month', due), count(*) FROM lending_7.loans GROUP BY 1 ORDER BY 1
postgres|SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY fine) FROM lending_7.fines
postgres|SELECT string_agg(title, ', ' ORDER BY title) FROM lending_7.titles
postgres|SELECT array_agg(id) FROM lending_7.members WHERE town = 'Soshanguve'
postgres|SELECT count(*) FILTER (WHERE returned IS NULL) FROM lending_7.loans
postgres|SELECT branch, genre, count(*) FROM lending_7.loans GROUP BY ROLLUP (branch, genre)
postgres|SELECT branch, genre, count(*) FROM lending_7.loans GROUP BY CUBE (branch, genre)
postgres|SELECT branch, genre, count(*) FROM lending_7.loans GROUP BY GROUPING SETS ((branch), (genre), ())
postgres|SELECT bool_and(returned) FROM lending_7.loans
postgres|SELECT json_agg(t) FROM lending_7.titles t
postgres|SELECT mode() WITHIN GROUP (ORDER BY genre) FROM lending_7.titles
postgres|SELECT due::date, count(*) FROM lending_7.loans WHERE due > now() - interval '30 days' GROUP BY due::date
postgres|SELECT * FROM lending_7.loans ORDER BY due FETCH FIRST 50000 ROWS ONLY
postgres|SELECT title, ntile(4) OVER w FROM lending_7.titles WINDOW w AS (ORDER BY pages)
postgres|EXPLAIN ANALYZE SELECT count(*) FROM lending_7.loans
postgres|SELECT corr(pages, loans), regr_slope(pages, loans) FROM lending_7.titles
mysql|SELECT `branch`, count(*) FROM `lending_7`.`loans` GROUP BY `branch`
mysql|SELECT group_concat(title) FROM lending_7.titles
mysql|SELECT year(due), month(due), count(*) FROM lending_7.loans GROUP BY year(due), month(due)
mysql|SELECT branch, count(*) FROM lending_7.loans GROUP BY branch WITH ROLLUP
duckdb|SELECT branch, median(fine), quantile_cont(fine, 0.9) FROM lending_7.fines GROUP BY branch
duckdb|SELECT arg_max(title, loans) FROM lending_7.titles
duckdb|SELECT title FROM lending_7.titles QUALIFY row_number() OVER (PARTITION BY genre ORDER BY loans DESC) = 1
duckdb|FROM lending_7.loans SELECT branch, count(*) GROUP BY branch
sqlite|SELECT total(fine) FROM lending_7.fines
sqlite|SELECT strftime('%m', due), count(*) FROM lending_7.loans GROUP BY 1
trino|SELECT approx_distinct(member) FROM lending_7.loans
trino|SELECT approx_percentile(fine, 0.9) FROM lending_7.fines
trino|SELECT branch, max_by(title, loans) FROM lending_7.titles GROUP BY branch
