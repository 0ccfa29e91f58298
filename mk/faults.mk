.PHONY: bench-faults
bench-faults: ## measures each fault under load, and the key-value service's rates by fleet size
	scripts/bench/faults.sh $(FAULTS_TABLE)
