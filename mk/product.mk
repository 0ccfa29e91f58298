# Targets that run a persistent local deployment, and that generate and check documentation pages.

demo up: $(or $(shell command -v curl),install-curl)

.PHONY: install-curl
install-curl:
	apt-get install -y --no-install-recommends curl || { apt-get update && apt-get install -y --no-install-recommends curl; }

.PHONY: up
up: build ## starts a small deployment and keeps it until interrupted
	scripts/up.sh $(DEPLOYMENT)

.PHONY: docs
docs: ## makes the generated pages anew
	go test ./share/modules/codes -run TestPage -update

# -count=1: the pages lie outside the Go modules, so the cache of test results does not notice when
# they change.
.PHONY: check-pages
check-pages: ## checks pages and example files against the code
	go test -count=1 -run 'Page|Example|Deploy' ./share/models/config ./share/modules/codes ./vctl/cmds ./entry/cmds ./agent/cmds

unit: check-pages
