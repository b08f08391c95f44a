package poisonpart

import (
	"strconv"
	"time"
)

// Record is the form in which an entry is kept in an object store.
type Record struct {
	Part          string        `json:"part"` // hexadecimal
	Released      uint64        `json:"released,omitempty"`
	Quarantined   bool          `json:"quarantined"`
	ExpiresUnixMs int64         `json:"expires_unix_ms"`
	Crashes       []CrashRecord `json:"crashes"`
}

// CrashRecord is a crash of a Record.
type CrashRecord struct {
	Replica  uint64 `json:"replica,string"`
	AtUnixMs int64  `json:"at_unix_ms"`
	Waiting  bool   `json:"waiting,omitempty"`
	Retried  bool   `json:"retried,omitempty"`
}

// SuspectsRecord is the form in which suspects that are not refused are kept together.
type SuspectsRecord struct {
	Suspects []Record `json:"suspects"`
}

// NewSuspectsRecord returns the record of the entries.
func NewSuspectsRecord(entries []Entry) SuspectsRecord {
	var r SuspectsRecord
	for i := range entries {
		r.Suspects = append(r.Suspects, NewRecord(&entries[i]))
	}
	return r
}

// Name returns the form of a part's ID in records, logs and commands.
func Name(part uint64) string { return strconv.FormatUint(part, 16) }

// NewRecord returns the record of an entry.
func NewRecord(e *Entry) Record {
	r := Record{Part: Name(e.Part), Released: e.Released, Quarantined: e.Quarantined, ExpiresUnixMs: e.Expires.UnixMilli()}
	for _, c := range e.Crashes {
		r.Crashes = append(r.Crashes, CrashRecord{Replica: c.Replica, AtUnixMs: c.At.UnixMilli(), Waiting: c.Waiting, Retried: c.Retried})
	}
	return r
}

// Entry returns the entry of a record.
func (r *Record) Entry() (Entry, error) {
	part, err := strconv.ParseUint(r.Part, 16, 64)
	if err != nil {
		return Entry{}, err
	}
	e := Entry{Part: part, Released: r.Released, Quarantined: r.Quarantined, Expires: time.UnixMilli(r.ExpiresUnixMs)}
	for _, c := range r.Crashes {
		e.Crashes = append(e.Crashes, Crash{Replica: c.Replica, At: time.UnixMilli(c.AtUnixMs), Waiting: c.Waiting, Retried: c.Retried})
	}
	return e, nil
}
