// Package settings reads the daemon's INI file into the settings schema and
// validates it.
//
// Sections, keys, defaults, help texts and validation rules all come from the schema
// (settings.proto), so that the parser, the documentation and the error messages
// cannot diverge.
package settings

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"buf.build/go/protovalidate"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// ProtocolUsers is the value of the setting platform.protocol that selects the users'
// platform, to whose store operators write configurations themselves.
const ProtocolUsers = "users"

// Error is an error in the content of a settings file.
type Error struct {
	// File is the path passed to Load.
	File string
	// Section and Key locate the error. Key is empty if the error concerns a
	// whole section.
	Section string
	Key     string
	// Value is the rejected value. It is empty if the key is absent.
	Value string
	// Accepted describes the accepted values, keys or sections.
	Accepted string
	// Problem describes the error in a few words, such as "out of range".
	Problem string
}

// Error formats the error on one line.
func (e *Error) Error() string {
	location := fmt.Sprintf("%s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		location += fmt.Sprintf(", key %s, value %q", e.Key, e.Value)
	}
	return fmt.Sprintf("%s: %s; accepted: %s", location, e.Problem, e.Accepted)
}

// Load reads and validates the file. Errors in its content are of type *Error; other
// errors mean that the file cannot be read or is not valid INI.
func Load(path string) (*pb.Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, path)
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %s", path)
	}
	loader := loader{path: path, file: file}
	return loader.load()
}

type loader struct {
	path string
	file *ini.File
}

func (l *loader) load() (*pb.Settings, error) {
	settings := &pb.Settings{}
	root := settings.ProtoReflect()
	if err := l.checkSections(root.Descriptor()); err != nil {
		return nil, err
	}
	sections := root.Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		message := root.Mutable(section).Message()
		if err := l.loadSection(string(section.Name()), message); err != nil {
			return nil, err
		}
	}
	if err := l.checkCrossSection(settings); err != nil {
		return nil, err
	}
	return settings, nil
}

func (l *loader) checkSections(root protoreflect.MessageDescriptor) error {
	for _, section := range l.file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if root.Fields().ByName(protoreflect.Name(name)) == nil {
			return &Error{
				File: l.path, Section: name, Problem: "unknown section",
				Accepted: "sections " + fieldNames(root),
			}
		}
	}
	return nil
}

func (l *loader) loadSection(name string, message protoreflect.Message) error {
	section := l.file.Section(name)
	fields := message.Descriptor().Fields()
	for _, key := range section.Keys() {
		if fields.ByName(protoreflect.Name(key.Name())) == nil {
			return &Error{
				File: l.path, Section: name, Key: key.Name(), Value: key.Value(),
				Problem: "unknown key", Accepted: "keys " + fieldNames(message.Descriptor()),
			}
		}
	}
	for i := range fields.Len() {
		if err := l.loadKey(section, message, fields.Get(i)); err != nil {
			return err
		}
	}
	return l.validate(name, message)
}

func (l *loader) loadKey(section *ini.Section, message protoreflect.Message, field protoreflect.FieldDescriptor) error {
	options := Options(field)
	text := options.GetDefaultValue()
	if section.HasKey(string(field.Name())) {
		written := strings.TrimSpace(section.Key(string(field.Name())).Value())
		if written != "" || field.Kind() == protoreflect.StringKind {
			text = written
		}
	}
	if text == "" && field.Kind() == protoreflect.StringKind {
		return nil
	}
	value, err := parse(field, text)
	if err != nil {
		return l.newError(section.Name(), field, text, "wrong type")
	}
	message.Set(field, value)
	return nil
}

// validate checks one section against the validation rules of the schema and returns
// the first violation.
func (l *loader) validate(section string, message protoreflect.Message) error {
	err := protovalidate.Validate(message.Interface())
	if err == nil {
		return nil
	}
	var invalid *protovalidate.ValidationError
	if !errors.As(err, &invalid) || len(invalid.Violations) == 0 {
		return errors.Wrapf(err, "settings file %s, section [%s]", l.path, section)
	}
	field := invalid.Violations[0].FieldDescriptor
	value := message.Get(field).String()
	if value == "" {
		return l.newError(section, field, value, "missing")
	}
	return l.newError(section, field, value, "out of range")
}

// checkCrossSection checks the rules that involve several sections.
func (l *loader) checkCrossSection(settings *pb.Settings) error {
	peers, limits := settings.Peers, settings.Limits
	detection := peers.SuspectAfterMs + peers.DeadAfterMs + limits.GuardMs
	if detection > limits.ClockGapMs {
		return nil
	}
	field := limits.ProtoReflect().Descriptor().Fields().ByName("clock_gap_ms")
	settingsErr := l.newError("limits", field, strconv.FormatUint(uint64(limits.ClockGapMs), 10), "too long")
	settingsErr.Accepted = fmt.Sprintf("less than suspect_after_ms + dead_after_ms + guard_ms = %d", detection)
	return settingsErr
}

func (l *loader) newError(section string, field protoreflect.FieldDescriptor, value, problem string) *Error {
	return &Error{
		File: l.path, Section: section, Key: string(field.Name()), Value: value,
		Problem: problem, Accepted: Options(field).GetAccepted(),
	}
}

// Options returns the default, help text and accepted values of a key.
func Options(field protoreflect.FieldDescriptor) *pb.SettingOptions {
	options, _ := proto.GetExtension(field.Options(), pb.E_Setting).(*pb.SettingOptions)
	return options
}

// parse converts the text of a value to the type of its field.
func parse(field protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch kind := field.Kind(); kind {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.BoolKind:
		value, err := strconv.ParseBool(text)
		return protoreflect.ValueOfBool(value), err
	case protoreflect.DoubleKind:
		value, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(value), err
	case protoreflect.Uint32Kind:
		value, err := parseUint32(field, text)
		return protoreflect.ValueOfUint32(value), err
	default:
		return protoreflect.Value{}, errors.Errorf("no settings of kind %s", kind)
	}
}

// millisecondsSuffix is the name suffix of keys that hold a duration in milliseconds.
const millisecondsSuffix = "_ms"

// parseUint32 parses an unsigned integer. Durations may also have a unit, such as 6s,
// or a fraction; both are truncated to whole milliseconds.
func parseUint32(field protoreflect.FieldDescriptor, text string) (uint32, error) {
	value, err := strconv.ParseUint(text, 10, 32)
	if err == nil || !strings.HasSuffix(string(field.Name()), millisecondsSuffix) {
		return uint32(value), err
	}
	if number, parseErr := strconv.ParseFloat(text, 64); parseErr == nil {
		return truncateMilliseconds(number)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return truncateMilliseconds(float64(duration) / float64(time.Millisecond))
}

// truncateMilliseconds truncates a number of milliseconds. It returns an error if the
// number is out of the range of uint32 or NaN.
func truncateMilliseconds(number float64) (uint32, error) {
	if !(number >= 0 && number <= math.MaxUint32) {
		return 0, errors.Errorf("%v ms is out of range", number)
	}
	return uint32(number), nil
}

// fieldNames returns the sorted field names of a message, separated by commas.
func fieldNames(message protoreflect.MessageDescriptor) string {
	fields := message.Fields()
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
