// Command exportvalidate writes buf/validate/validate.proto below the directory
// given as its only argument. The file is generated from the descriptor in the
// protovalidate Go module, so that buf can resolve the import without access to
// a schema registry.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"github.com/jhump/protoreflect/v2/protoprint"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: exportvalidate DIRECTORY")
		os.Exit(2)
	}
	if err := export(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "exportvalidate:", err)
		os.Exit(1)
	}
}

func export(dir string) error {
	descriptor := validate.File_buf_validate_validate_proto
	printer := protoprint.Printer{}
	text, err := printer.PrintProtoToString(descriptor)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, descriptor.Path())
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), fileMode)
}
