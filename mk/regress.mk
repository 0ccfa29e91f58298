.PHONY: regress
regress: ## scores the deployments of regression runs with the users' bench (BENCH: the program, SITES: the directory of the site files, WHY: a line for the journal)
	@test -n "$(BENCH)" -a -n "$(SITES)" || { echo "regress: set BENCH and SITES" >&2; exit 2; }
	scripts/bench/regress.sh "$(BENCH)" "$(SITES)"
