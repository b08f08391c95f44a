// Package soak holds the fault soak of the gateways: its tests run the real program in
// several processes, inject random faults from outside and check what callers and replicas
// see. make soak SEEDS=50 plays many seeds, SEED=n one again.
package soak
