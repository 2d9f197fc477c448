package language

import (
	"strconv"
	"strings"
	"time"
)

// Limits of values, as the schema of the caller interface has them.
const (
	maxTimeLimit = time.Minute
	maxRowLimit  = 10000
	maxPercent   = 100
)

// valueError states what is accepted in place of a token's value.
type valueError struct {
	accepted string
}

// Error returns what is accepted.
func (e *valueError) Error() string {
	return e.accepted
}

// Text is a name or another text that is not empty. In a statement it may stand
// in single or double quotes; a quote inside is written twice.
type Text string

// Capture takes the token's text without its quotes.
func (t *Text) Capture(values []string) error {
	text := unquote(values[0])
	if text == "" {
		return &valueError{accepted: "a text that is not empty"}
	}
	*t = Text(text)
	return nil
}

// Value is what a field is compared with or set to; it may be empty.
type Value string

// Capture takes the token's text without its quotes.
func (v *Value) Capture(values []string) error {
	*v = Value(unquote(values[0]))
	return nil
}

func unquote(raw string) string {
	if raw == "" || !strings.ContainsRune(`'"`, rune(raw[0])) {
		return raw
	}
	quote := raw[:1]
	return strings.ReplaceAll(raw[1:len(raw)-1], quote+quote, quote)
}

// Milliseconds is a time limit.
type Milliseconds uint32

// Capture parses a duration such as 140ms or 2s.
func (m *Milliseconds) Capture(values []string) error {
	duration, err := time.ParseDuration(strings.ToLower(values[0]))
	if err != nil || duration < time.Millisecond || duration > maxTimeLimit {
		return &valueError{accepted: "a time from 1ms to 60s"}
	}
	*m = Milliseconds(duration.Milliseconds())
	return nil
}

// Percent is a share from 0 to 100.
type Percent uint32

// Capture parses a whole number.
func (p *Percent) Capture(values []string) error {
	number, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || number > maxPercent {
		return &valueError{accepted: "a whole number from 0 to 100"}
	}
	*p = Percent(number)
	return nil
}

// RowLimit is a number of rows.
type RowLimit uint32

// Capture parses a whole number.
func (r *RowLimit) Capture(values []string) error {
	number, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || number == 0 || number > maxRowLimit {
		return &valueError{accepted: "a whole number from 1 to 10000"}
	}
	*r = RowLimit(number)
	return nil
}
