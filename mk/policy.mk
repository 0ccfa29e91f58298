POLICY_SCENARIOS ?= steady burst slow-stage region-cut replicas-gone kv-down cold prefixes overload
POLICY_RUNS ?= 5

.PHONY: bench-policy
bench-policy: build ## offers the policy and its baselines the same loads and faults; results in out/policy
	scripts/bench/policy.sh $(POLICY_RUNS) $(POLICY_SCENARIOS)
	scripts/bench/policy/report.sh out/policy docs/measurements/policy
