package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// Defaults returns a commented settings file with every key and its default. Keys
// without a default have an empty value.
func Defaults() string {
	var text strings.Builder
	text.WriteString("; Settings of carawayreeld. `carawayreeld check FILE` checks a file.\n" +
		"; Times, whose keys end in _ms, may be written with a unit, such as 6s.\n")
	sections := (&pb.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		fmt.Fprintf(&text, "\n[%s]\n", section.Name())
		writeKeys(&text, section.Message().Fields())
	}
	return text.String()
}

func writeKeys(text *strings.Builder, keys protoreflect.FieldDescriptors) {
	for i := range keys.Len() {
		key := keys.Get(i)
		options := Options(key)
		fmt.Fprintf(text, "; %s\n; Accepted: %s.\n", options.GetHelp(), options.GetAccepted())
		fmt.Fprintf(text, "%s = %s\n", key.Name(), options.GetDefaultValue())
	}
}
