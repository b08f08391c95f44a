// Package queue provides an indexed priority queue that supports the removal of elements
// from any position.
package queue

import (
	"container/heap"
	"iter"
	"slices"
)

// Node is an element's entry in a Heap. It is a field of the element, so that Push does not
// allocate per element. A Node must be in at most one Heap at a time.
type Node[T any] struct {
	Key   int64 // the lowest key comes first; must not change while queued
	Value T
	index int // position in the heap plus one; 0 when not queued
}

// Queued reports whether the node is in a heap.
func (n *Node[T]) Queued() bool { return n.index > 0 }

// Heap is a priority queue; the zero value is empty. It is not safe for
// concurrent use.
type Heap[T any] struct {
	nodes nodes[T]
}

// Len returns the number of queued nodes.
func (h *Heap[T]) Len() int { return len(h.nodes) }

// Push adds a node that is not queued.
func (h *Heap[T]) Push(n *Node[T]) { heap.Push(&h.nodes, n) }

// Min returns the node with the lowest key, or nil if the heap is empty.
func (h *Heap[T]) Min() *Node[T] {
	if len(h.nodes) == 0 {
		return nil
	}
	return h.nodes[0]
}

// Remove removes a node that is queued in the heap.
func (h *Heap[T]) Remove(n *Node[T]) { heap.Remove(&h.nodes, n.index-1) }

// All yields all nodes in no particular order. The heap must not be changed during the
// iteration.
func (h *Heap[T]) All() iter.Seq[*Node[T]] {
	return slices.Values(h.nodes)
}

// nodes implements heap.Interface and maintains the index of each node.
type nodes[T any] []*Node[T]

func (s nodes[T]) Len() int           { return len(s) }
func (s nodes[T]) Less(i, j int) bool { return s[i].Key < s[j].Key }

func (s nodes[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i + 1
	s[j].index = j + 1
}

func (s *nodes[T]) Push(x any) {
	n := x.(*Node[T])
	*s = append(*s, n)
	n.index = len(*s)
}

func (s *nodes[T]) Pop() any {
	last := len(*s) - 1
	n := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	n.index = 0
	return n
}
