.PHONY: quickstart test generate

quickstart:
	./scripts/quickstart.sh

test:
	./scripts/check.sh

generate:
	go generate ./...
