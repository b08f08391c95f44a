package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Numbers returns a finding for each negative number in a decoded document, none of which may be negative, and for each
// duration above the longest that hosts use. Durations are the numbers whose names end in Ms. It works on the document because
// hosts replace such values when they decode it.
func Numbers(document any, longest time.Duration) []Finding {
	return checkNumbers(nil, reflect.ValueOf(document), "", longest)
}

func checkNumbers(findings []Finding, v reflect.Value, path string, longest time.Duration) []Finding {
	report := func(severity Severity, format string, args ...any) {
		findings = append(findings, Finding{Severity: severity, Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			findings = checkNumbers(findings, v.Elem(), path, longest)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("json")
			findings = checkNumbers(findings, v.Field(i), strings.TrimPrefix(path+"."+name, "."), longest)
		}
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			break // undecoded, which has a check of its own
		}
		for i := range v.Len() {
			findings = checkNumbers(findings, v.Index(i), fmt.Sprintf("%s[%d]", path, i), longest)
		}
	case reflect.Int, reflect.Int64:
		if v.Int() < 0 {
			report(Error, "%d is negative", v.Int())
		}
	case reflect.Float64:
		if v.Float() < 0 {
			report(Error, "%g is negative", v.Float())
		} else if strings.HasSuffix(path, "Ms") && v.Float() > float64(longest.Milliseconds()) {
			report(Warning, "%g ms is more than %v, the longest time that hosts use", v.Float(), longest)
		}
	}
	return findings
}

// DecodeFailure describes why a document cannot be decoded, and where.
func DecodeFailure(data []byte, err error) Finding {
	finding := Finding{Severity: Error, Problem: err.Error()}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		finding.Problem = fmt.Sprintf("%s: %v", position(data, syntax.Offset), syntax)
	case errors.As(err, &kind):
		finding.Path = pathAt(data, kind.Offset)
		finding.Problem = fmt.Sprintf("%s: a JSON %s, want %s", position(data, kind.Offset), kind.Value, jsonKind(kind.Type))
	}
	return finding
}

// jsonKind describes the JSON values that are decoded into t.
func jsonKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number in range"
	default:
		return "a whole number in range"
	}
}

// position returns the line and column of the last of the first offset bytes.
func position(data []byte, offset int64) string {
	before := data[:min(max(offset-1, 0), int64(len(data)))]
	return fmt.Sprintf("line %d, column %d", 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n'))
}

// pathAt returns the path of the JSON value that ends, or as an object or array begins, at offset.
func pathAt(data []byte, offset int64) (path string) {
	walk(data, func(v jsonValue) bool {
		if v.offset >= offset {
			path = v.path()
		}
		return v.offset < offset
	})
	return path
}

// RepeatedFields returns a finding for each field that appears twice in an object. Hosts mix the values of both.
func RepeatedFields(data []byte) (findings []Finding) {
	walk(data, func(v jsonValue) bool {
		if v.repeated {
			findings = append(findings, Finding{Severity: Error, Path: v.path(), Problem: position(data, v.offset) + ": field appears twice"})
		}
		return true
	})
	return findings
}

// jsonLevel is an object or array that is being read.
type jsonLevel struct {
	array  bool
	index  int             // of the current element
	key    string          // of the current field
	hasKey bool            // the next token is the value of key
	seen   map[string]bool // keys read so far
}

// jsonValue is a value in a JSON document. It is valid until the next one is read.
type jsonValue struct {
	levels   []jsonLevel // that the value is in
	offset   int64       // of the end of the value, or of the beginning of an object or array
	repeated bool        // the object has an earlier field of the same name
}

func (v *jsonValue) path() string {
	var path strings.Builder
	for _, l := range v.levels {
		if l.array {
			fmt.Fprintf(&path, "[%d]", l.index)
		} else {
			path.WriteString("." + Printable(l.key))
		}
	}
	return strings.TrimPrefix(path.String(), ".")
}

// walk calls visit for each value of a JSON document until visit returns false or the document cannot be read further.
func walk(data []byte, visit func(v jsonValue) bool) {
	var levels []jsonLevel
	repeated := false
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	for {
		token, err := dec.Token()
		if err != nil {
			return
		}
		var top *jsonLevel
		if len(levels) > 0 {
			top = &levels[len(levels)-1]
		}
		delim, _ := token.(json.Delim)
		switch {
		case delim == '}' || delim == ']':
			levels = levels[:len(levels)-1]
			if len(levels) == 0 {
				return
			}
			top = &levels[len(levels)-1]
		case top != nil && !top.array && !top.hasKey:
			top.key, top.hasKey = token.(string), true
			repeated = top.seen[top.key]
			top.seen[top.key] = true
			continue
		default:
			if !visit(jsonValue{levels: levels, offset: dec.InputOffset(), repeated: repeated}) {
				return
			}
			repeated = false
			if delim != 0 {
				levels = append(levels, jsonLevel{array: delim == '[', seen: make(map[string]bool)})
				continue
			}
		}
		if top == nil {
			return
		}
		top.index++
		top.hasKey = false
	}
}

// Printable returns a name, quoted if it is empty or has characters that may not be visible.
func Printable(name string) string {
	if quoted := strconv.Quote(name); name == "" || quoted != `"`+name+`"` {
		return quoted
	}
	return name
}

// LaterVersion returns an error if hosts ignore a document because its version is not higher than that in force.
func LaterVersion(path string, next, inForce int64) []Finding {
	if next > inForce {
		return nil
	}
	return []Finding{{
		Severity: Error, Path: path, Problem: fmt.Sprintf("%d is not higher than %d, which is in force: hosts ignore the document", next, inForce),
	}}
}

// UnknownKind returns the finding for a kind of routes that hosts do not know.
func UnknownKind(path, kind string) Finding {
	return Finding{Severity: Warning, Path: path, Problem: fmt.Sprintf("%q is not a known kind: requests are not retried", kind)}
}

// Shadowed returns the finding for a field that another one replaces.
func Shadowed(path, by string) Finding {
	return Finding{Severity: Warning, Path: path, Problem: "has no effect, as the route has a " + by}
}
