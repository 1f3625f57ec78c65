// Package protocol holds the messages and codecs of pinewinch. Generated code
// is committed; regenerate with Debian's protobuf-compiler and `go generate`.
package protocol

//go:generate go build -o ../../.tools/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=controlpb --go_out=paths=source_relative:controlpb control.proto
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=peerpb --proto_path=controlpb --proto_path=consensuspb --go_out=paths=source_relative:peerpb peer.proto
//go:generate protoc --plugin=../../.tools/protoc-gen-go --proto_path=consensuspb --go_out=paths=source_relative:consensuspb consensus.proto record.proto
