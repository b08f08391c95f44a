package scheduler

// link holds the pointers of an intrusive list. It is embedded in the element, so
// that adding the element to a list does not allocate. An element is in at most one
// list.
type link[T any] struct {
	newer, older *T
}

func (l *link[T]) linkPtr() *link[T] { return l }

// linkedElement is a pointer to an element that embeds a link.
type linkedElement[T any] interface {
	*T
	linkPtr() *link[T]
}

// list is a doubly linked list of elements in the order in which they were pushed.
// The zero value is empty.
type list[T any, E linkedElement[T]] struct {
	newest *T
}

func (l *list[T, E]) push(e *T) {
	E(e).linkPtr().older = l.newest
	if l.newest != nil {
		E(l.newest).linkPtr().newer = e
	}
	l.newest = e
}

// remove removes an element, which must be in the list.
func (l *list[T, E]) remove(e *T) {
	at := E(e).linkPtr()
	if at.newer != nil {
		E(at.newer).linkPtr().older = at.older
	} else {
		l.newest = at.older
	}
	if at.older != nil {
		E(at.older).linkPtr().newer = at.newer
	}
	*at = link[T]{}
}
