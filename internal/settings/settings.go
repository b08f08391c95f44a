// Package settings decodes JSON settings strictly. Every problem is reported
// with the path of the field that has it.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// FieldError is a problem with one field.
type FieldError struct {
	Path    string // for example "classes[2].tier"; empty for the whole document
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Problem
	}
	return e.Path + ": " + e.Problem
}

// Errorf returns a FieldError for the field at path.
func Errorf(path, format string, args ...any) error {
	return &FieldError{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// Validator is a settings type that checks its values after decoding. The
// returned error should be a *FieldError.
type Validator interface {
	Validate() error
}

// Decode decodes data into target, which must be a pointer to a struct. It
// refuses unknown and repeated fields, wrong types, nulls and trailing data,
// then calls target's Validate if it has one.
func Decode(data []byte, target any) error {
	if err := checkDocument(data, target); err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return decodeError(err)
	}
	if v, ok := target.(Validator); ok {
		return v.Validate()
	}
	return nil
}

// Load reads and decodes the file at path.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &FieldError{Problem: err.Error()}
	}
	return Decode(data, target)
}

func decodeError(err error) error {
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return fieldErr
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Errorf(typeErr.Field, "value is a JSON %s, want %s", typeErr.Value, typeErr.Type)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return Errorf("", "not valid JSON at byte %d: %v", syntaxErr.Offset, err)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Errorf("", "the JSON document ends early")
	}
	return Errorf("", "%v", err)
}

// Duration is a time.Duration written in JSON as a string such as "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return Errorf("", "a duration is a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return Errorf("", "%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
