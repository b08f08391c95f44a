package scheduler

// link is an element's place in a list. It is embedded in the element, so that
// linking does not allocate. A link is in at most one list.
type link[T any] struct {
	newer, older *T
}

func (l *link[T]) place() *link[T] { return l }

// linked is a pointer to an element that embeds its link.
type linked[T any] interface {
	*T
	place() *link[T]
}

// list holds elements in the order in which they were pushed. The zero value is
// empty.
type list[T any, E linked[T]] struct {
	newest *T
}

func (l *list[T, E]) push(e *T) {
	E(e).place().older = l.newest
	if l.newest != nil {
		E(l.newest).place().newer = e
	}
	l.newest = e
}

// remove takes out an element that is in the list.
func (l *list[T, E]) remove(e *T) {
	at := E(e).place()
	if at.newer != nil {
		E(at.newer).place().older = at.older
	} else {
		l.newest = at.older
	}
	if at.older != nil {
		E(at.older).place().newer = at.newer
	}
	*at = link[T]{}
}
