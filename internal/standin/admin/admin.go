// Package admin has what the switches of all stand-ins share.
package admin

import (
	"encoding/json"
	"net/http"
)

// WriteJSON answers with a JSON document.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Put returns a handler that decodes a JSON document and hands it to set. A
// document with unknown fields is refused with status 400 and changes nothing.
func Put[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(value)
	}
}

// Get returns a handler that answers with what get returns.
func Get[T any](get func() T) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, get()) }
}
