# The two commands for a newcomer are `make demo` and `make test`.
GO ?= go
export CGO_ENABLED = 1
LDFLAGS = -linkmode=external

.PHONY: build setup demo test unit crowd processes lint model dynamic bench generate clean

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

setup:
	./scripts/setup

demo: setup build
	./scripts/demo

test: setup lint build dynamic model unit crowd processes

unit:
	./scripts/unit

# One process at a time meets a crowd of clients, with nothing else running.
crowd:
	./scripts/crowd

# The demo checks the whole path with real processes; the soak adds faults. Its bounds in time are off: the verdict
# must not depend on how busy the machine is.
processes: build
	./scripts/demo
	./scripts/soak-ci

lint:
	./scripts/lint

model:
	./scripts/model

dynamic: build
	./scripts/check-dynamic

bench:
	./scripts/bench

generate:
	./scripts/generate

clean:
	rm -rf bin out
