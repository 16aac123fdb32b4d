# Tasks of the project. README.md names the two commands that a newcomer needs.
.PHONY: all build test lint ci demo bench fuzz docs

all: ci

build:
	go build -o bin/ ./... && go build -o bin/sycamorewall . && go build -o bin/lab ./lab

test:
	go test ./...

lint:
	gofmt -l . && golangci-lint run ./...

ci:
	bash .ci/run

demo:
	go run ./lab demo

bench:
	go test ./... -run '^$$' -bench . -benchmem

fuzz:
	go test ./pkg/swrule -run '^$$' -fuzz FuzzParse -fuzztime 60s
	go test ./internal/swhttp -run '^$$' -fuzz FuzzSearchBody -fuzztime 60s
	go test ./internal/swconn -run '^$$' -fuzz FuzzJoinedHeads -fuzztime 60s

docs:
	go test ./internal/swsetting ./pkg/swcode -update
