package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// checkDocument walks the JSON document beside the target's type, because
// encoding/json names no path for unknown fields and accepts repeated ones.
func checkDocument(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := checkValue(dec, "", reflect.TypeOf(target)); err != nil {
		return err
	}
	if dec.More() {
		return Errorf("", "data follows the JSON document")
	}
	return nil
}

func checkValue(dec *json.Decoder, path string, t reflect.Type) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if hasOwnDecoder(t) {
		return checkOwnDecoder(dec, path, t)
	}
	token, err := dec.Token()
	if err != nil {
		return decodeError(err)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return checkObject(dec, path, t)
		}
		return checkArray(dec, path, t)
	case nil:
		return Errorf(path, "null is not allowed; leave the field out")
	default:
		return checkScalar(path, token, t)
	}
}

func hasOwnDecoder(t reflect.Type) bool {
	return t != nil && reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]())
}

func checkOwnDecoder(dec *json.Decoder, path string, t reflect.Type) error {
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		return decodeError(err)
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return Errorf(path, "%v", decodeError(err))
	}
	return nil
}

func checkObject(dec *json.Decoder, path string, t reflect.Type) error {
	if t.Kind() != reflect.Struct && t.Kind() != reflect.Map {
		return Errorf(path, "value is an object, want %s", describe(t))
	}
	seen := make(map[string]bool)
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return decodeError(err)
		}
		key := token.(string)
		fieldPath := key
		if path != "" {
			fieldPath = path + "." + key
		}
		if seen[key] {
			return Errorf(fieldPath, "field appears twice")
		}
		seen[key] = true
		fieldType, ok := fieldTypeOf(t, key)
		if !ok {
			return Errorf(fieldPath, "unknown field")
		}
		if err := checkValue(dec, fieldPath, fieldType); err != nil {
			return err
		}
	}
	_, err := dec.Token()
	if err != nil {
		return decodeError(err)
	}
	return nil
}

func fieldTypeOf(t reflect.Type, key string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == key && name != "-" {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func checkArray(dec *json.Decoder, path string, t reflect.Type) error {
	if t.Kind() != reflect.Slice {
		return Errorf(path, "value is an array, want %s", describe(t))
	}
	for i := 0; dec.More(); i++ {
		if err := checkValue(dec, fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return decodeError(err)
	}
	return nil
}

func checkScalar(path string, token json.Token, t reflect.Type) error {
	raw, err := json.Marshal(token)
	if err != nil {
		return Errorf(path, "%v", err)
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return Errorf(path, "value %s is not %s", raw, describe(t))
	}
	return nil
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}
