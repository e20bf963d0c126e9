# Targets for users: demo, test. For developers: build, race, generate, format, lint, bench, history, soak, day, regress.

MODULES := core balancer sidecar landingctl platform standin experiment valuegen
# Modules whose programs have files behind the build tag relay.
RELAYS := balancer sidecar
PROGRAMS := balancer sidecar landingctl standin
TOOLS := $(CURDIR)/.tools

PAGES ?= ../given/kit/more/system
BENCH ?= $(PAGES)/more/bench-d17393/bin/fleetbench
SITE ?= ../given/kit/more/system/sites/nosa-lb.toml
SEED ?= 1
RUNS ?= 20

.PHONY: demo test race build generate format lint tools bench history soak day regress

demo: build
	./scripts/demo.sh

test:
	go test $(addprefix ./,$(addsuffix /...,$(MODULES)))

race:
	go test -race $(addprefix ./,$(addsuffix /...,$(MODULES)))

build:
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

tools:
	@./scripts/tools.sh "$(TOOLS)"

generate: tools
	cd valuegen && go build -o "$(TOOLS)/protoc-gen-value" .
	rm -rf core/gen
	PATH="$(TOOLS):$$PATH" buf generate

format: tools
	"$(TOOLS)/gofumpt" -w $$(git ls-files '*.go' | grep -v '^core/gen/')

lint: tools
	@for m in $(MODULES); do (cd $$m && "$(TOOLS)/golangci-lint" run ./...) || exit 1; done
	@for m in $(RELAYS); do (cd $$m && "$(TOOLS)/golangci-lint" run --build-tags relay .) || exit 1; done

bench:
	go test -run '^$$' -bench . -benchmem ./core/... ./balancer/... ./sidecar/...

# Runs the fault soak of the relay path, with separate processes, for RUNS seeds from SEED on: make soak SEED=100 RUNS=50
soak:
	cd experiment && go test -run Soak -v ./pkg/relayed -soakseed $(SEED) -soak $(RUNS) -timeout 30m

# Runs one quiet day, the scenario quiet-1, of a deployment on the users' test bench, whose kit must be in ../given:
# make day SITE=path/to/site.toml
day:
	$(BENCH) run $(SITE) quiet-1 --why "make day"

# Plays the days of deploy/regression.json on the users' test bench and compares them with the last landing's figures.
# WRITE=FILE keeps the results: make regress WRITE=deploy/regression.json
regress:
	go run ./experiment regress -bench $(BENCH) -sites $(PAGES) $(if $(WRITE),-write $(WRITE) -commit $$(git rev-parse --short HEAD))

# Runs the checks of recorded histories for RUNS seeds from SEED on, more than CI does: make history SEED=1 RUNS=50
history:
	cd experiment && go test -run 'AtMostOnce|AcceptedLists' -v ./pkg/scenario -seed $(SEED) -runs $(RUNS)
