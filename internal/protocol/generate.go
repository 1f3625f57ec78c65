// Package protocol holds the commands that generate the code of the protobuf messages
// in its subdirectories. The generated code is committed; `go generate` needs protoc of
// Debian's package protobuf-compiler.
package protocol

//go:generate go build -o ../../.tools/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=controlpb --go_out=paths=source_relative:controlpb control.proto
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=peerpb --proto_path=controlpb --proto_path=consensuspb --go_out=paths=source_relative:peerpb peer.proto
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=consensuspb --go_out=paths=source_relative:consensuspb consensus.proto record.proto
