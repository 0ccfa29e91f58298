.PHONY: bench-path
bench-path: build ## measures what entry and agent add to a call; table in out/path/table.csv
	scripts/bench/path.sh all

.PHONY: bench-growth
bench-growth: build ## memory of two ingresses over ten minutes under a steady load (LENGTH: seconds)
	scripts/bench/growth.sh
