package language

import (
	"strconv"
	"strings"
	"time"
)

// Limits of values; they equal those in the schema of CallerService.
const (
	maxTimeLimit = time.Minute
	maxRowLimit  = 10000
	maxPercent   = 100
)

// valueError reports a token value that is not accepted.
type valueError struct {
	// accepted describes the values that are accepted.
	accepted string
}

// Error describes the values that are accepted.
func (e *valueError) Error() string {
	return e.accepted
}

// Text is a name or another non-empty text. In a statement it may be enclosed in
// single or double quotes; a quote inside is doubled.
type Text string

// Capture stores the token's text without its quotes.
func (t *Text) Capture(values []string) error {
	text := unquote(values[0])
	if text == "" {
		return &valueError{accepted: "a text that is not empty"}
	}
	*t = Text(text)
	return nil
}

// Value is the text that a field is compared with or set to; it may be empty.
type Value string

// Capture stores the token's text without its quotes.
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

// Milliseconds is a duration from 1ms to 60s.
type Milliseconds uint32

// Capture parses a duration such as 140ms or 2s. The error is a *valueError.
func (m *Milliseconds) Capture(values []string) error {
	duration, err := time.ParseDuration(strings.ToLower(values[0]))
	if err != nil || duration < time.Millisecond || duration > maxTimeLimit {
		return &valueError{accepted: "a time from 1ms to 60s"}
	}
	*m = Milliseconds(duration.Milliseconds())
	return nil
}

// Percent is a percentage from 0 to 100.
type Percent uint32

// Capture parses a whole number. The error is a *valueError.
func (p *Percent) Capture(values []string) error {
	number, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || number > maxPercent {
		return &valueError{accepted: "a whole number from 0 to 100"}
	}
	*p = Percent(number)
	return nil
}

// RowLimit is a number of rows from 1 to 10000.
type RowLimit uint32

// Capture parses a whole number. The error is a *valueError.
func (r *RowLimit) Capture(values []string) error {
	number, err := strconv.ParseUint(values[0], 10, 32)
	if err != nil || number == 0 || number > maxRowLimit {
		return &valueError{accepted: "a whole number from 1 to 10000"}
	}
	*r = RowLimit(number)
	return nil
}
