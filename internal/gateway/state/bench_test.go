package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/gateway/fleet"
)

// BenchmarkRegistration measures one change of a registration among 3,000 replicas. When a
// deployment of 300 hosts starts, every change reaches every host.
func BenchmarkRegistration(b *testing.B) {
	s := New(Options{
		Bus: bus.New(), Fleet: fleet.New(fleet.Options{Zone: "a"}), Logger: zerolog.Nop(),
		MaxWithdrawTime: testMaxWithdrawTime, OnStoreChange: func() {},
	})
	if err := s.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	const replicas = 3000
	initial := Members{Source: FromStore, Complete: true, AsOf: replicas}
	for i := range replicas {
		initial.Entries = append(initial.Entries, registration(fmt.Sprintf("e%d", i), uint64(i+1)))
	}
	if err := s.Publish(initial); err != nil {
		b.Fatal(err)
	}
	revision := uint64(replicas)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		revision++
		r := registration(fmt.Sprintf("e%d", i%replicas), revision)
		r.Started = time.Now().UnixNano() // any new value stands for a restarted process
		if err := s.Publish(Members{Source: FromStore, AsOf: revision, Entries: []Registration{r}}); err != nil {
			b.Fatal(err)
		}
	}
}
