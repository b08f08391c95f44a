// Package faults proves heatherbarrow's invariants with real processes behind a
// fault-injecting relay. Its tests bring a request or a rollout into a step,
// inject a fault, and check from the outside what callers and upstreams saw.
package faults
