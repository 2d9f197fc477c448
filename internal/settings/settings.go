// Package settings reads the daemon's INI file into the settings schema and
// checks it.
//
// Sections, keys, defaults and the text of error messages all come from the
// schema (settings.proto), so that the file, its documentation and its checks
// cannot disagree.
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

// Error is a fault in a settings file.
type Error struct {
	// File is the path as it was given.
	File string
	// Section and Key name the place; Key is empty for a fault of a section.
	Section string
	Key     string
	// Value is the value found; empty when the key is absent.
	Value string
	// Accepted states what is accepted in the place.
	Accepted string
	// Problem names the fault.
	Problem string
}

// Error returns the fault in one line.
func (e *Error) Error() string {
	place := fmt.Sprintf("%s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		place += fmt.Sprintf(", key %s, value %q", e.Key, e.Value)
	}
	return fmt.Sprintf("%s: %s; accepted: %s", place, e.Problem, e.Accepted)
}

// Load reads and checks the file. A fault in its content is an *Error; a file
// that cannot be read or is no INI file is another error.
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
	if err := l.checkRelations(settings); err != nil {
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
		return l.fault(section.Name(), field, text, "wrong type")
	}
	message.Set(field, value)
	return nil
}

// validate applies the rules of the schema to one section.
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
		return l.fault(section, field, value, "missing")
	}
	return l.fault(section, field, value, "out of range")
}

// checkRelations checks the settings that only make sense together.
func (l *loader) checkRelations(settings *pb.Settings) error {
	peers, limits := settings.Peers, settings.Limits
	detection := peers.SuspectAfterMs + peers.DeadAfterMs + limits.GuardMs
	if detection > limits.ClockGapMs {
		return nil
	}
	field := limits.ProtoReflect().Descriptor().Fields().ByName("clock_gap_ms")
	fault := l.fault("limits", field, strconv.FormatUint(uint64(limits.ClockGapMs), 10), "too long")
	fault.Accepted = fmt.Sprintf("less than suspect_after_ms + dead_after_ms + guard_ms = %d", detection)
	return fault
}

func (l *loader) fault(section string, field protoreflect.FieldDescriptor, value, problem string) *Error {
	return &Error{
		File: l.path, Section: section, Key: string(field.Name()), Value: value,
		Problem: problem, Accepted: Options(field).GetAccepted(),
	}
}

// Options returns the documentation of a key.
func Options(field protoreflect.FieldDescriptor) *pb.SettingOptions {
	options, _ := proto.GetExtension(field.Options(), pb.E_Setting).(*pb.SettingOptions)
	return options
}

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
		value, err := parseWhole(field, text)
		return protoreflect.ValueOfUint32(value), err
	default:
		return protoreflect.Value{}, errors.Errorf("no settings of kind %s", kind)
	}
}

// millisecondsSuffix ends the names of keys that hold a time in milliseconds.
const millisecondsSuffix = "_ms"

// parseWhole reads a whole number. Times may also have a unit, such as 6s, or a
// fraction, of which the whole milliseconds count.
func parseWhole(field protoreflect.FieldDescriptor, text string) (uint32, error) {
	value, err := strconv.ParseUint(text, 10, 32)
	if err == nil || !strings.HasSuffix(string(field.Name()), millisecondsSuffix) {
		return uint32(value), err
	}
	if number, failed := strconv.ParseFloat(text, 64); failed == nil {
		return wholeMilliseconds(number)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return wholeMilliseconds(float64(duration) / float64(time.Millisecond))
}

func wholeMilliseconds(number float64) (uint32, error) {
	if !(number >= 0 && number <= math.MaxUint32) {
		return 0, errors.Errorf("%v ms is out of range", number)
	}
	return uint32(number), nil
}

func fieldNames(message protoreflect.MessageDescriptor) string {
	fields := message.Fields()
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
