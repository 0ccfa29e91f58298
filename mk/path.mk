.PHONY: bench-path
bench-path: build ## measures what entry and agent add to a call; table in out/path/table.csv
	scripts/bench/path.sh all
