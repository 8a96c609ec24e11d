MODULES = . ./jasminectl ./jasmined ./jasminelab
LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: run build test fuzz lint format generate capacity

run:
	go run ./jasminelab demo

build:
	for m in $(MODULES); do (cd $$m && go build ./...) || exit 1; done

test:
	for m in $(MODULES); do (cd $$m && go test -race ./...) || exit 1; done

lint:
	for m in $(MODULES); do (cd $$m && go run $(LINT) run ./...) || exit 1; done

format:
	gofmt -l -w .

# Needs buf, protoc-gen-go and protoc-gen-connect-go on the path; the output is committed.
generate:
	buf generate
