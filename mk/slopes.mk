.PHONY: bench-slopes
bench-slopes: build ## measures what each size costs per process (PART=peers for one part; docs/slopes)
	scripts/bench/slopes.sh $(PART)

.PHONY: check-capacity
check-capacity: build ## works out every row of docs/CAPACITY.md anew from docs/slopes
	bin/vload capacity --page docs/CAPACITY.md --slopes docs/slopes
