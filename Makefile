# The two commands for a newcomer are `make demo` and `make test`.
GO ?= go
export CGO_ENABLED = 1
LDFLAGS = -linkmode=external

.PHONY: build setup demo test unit lint model dynamic bench generate clean

build:
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

setup:
	./scripts/setup

demo: setup build
	./scripts/demo

test: setup lint build dynamic model unit

unit:
	./scripts/unit

lint:
	./scripts/lint

model:
	./scripts/model

dynamic: build
	./scripts/check-dynamic

bench: build
	./scripts/bench

generate:
	./scripts/generate

clean:
	rm -rf bin out
