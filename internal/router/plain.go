package router

import (
	"encoding/json"
	"net/http"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
)

// plainAnswer collects the frames and answers with one JSON document.
type plainAnswer struct {
	*exchange
	model  string
	merged completion
	frames int
	added  int
	end    [][]byte // frames from the finish reason on
	held   int      // bytes in end
}

func newPlainAnswer(e *exchange, model string) *plainAnswer {
	e.answerMemory = e.server.AnswerMemory.Open("model " + model)
	return &plainAnswer{exchange: e, model: model}
}

func (a *plainAnswer) add(f forward.Frame) error {
	if f.Last || f.Trailer {
		a.held += len(f.Data)
		if !a.mayCollect() {
			return errAnswerTooLong
		}
		a.end = append(a.end, append([]byte(nil), f.Data...))
		return nil
	}
	if err := a.merged.add(f.Data); err != nil {
		return forward.ErrForeignFrame
	}
	if !a.mayCollect() {
		return errAnswerTooLong
	}
	a.frames++
	a.added++
	return nil
}

// mayCollect reports whether the frames so far may be held.
func (a *plainAnswer) mayCollect() bool {
	const copies = 2 // of each text: builders grow by doubling
	size := a.merged.size + a.held
	return size <= maxCollectedBytes && a.answerMemory.Grow(max(copies*size-a.answerMemory.Held(), 0)) == nil
}

func (a *plainAnswer) flush() (int, error) {
	n := a.added
	a.added = 0
	return n, nil
}

func (a *plainAnswer) settle() int {
	n := a.added + 1
	a.added = 0
	a.frames++
	return n
}

func (a *plainAnswer) dropEnd()      { a.end, a.held = nil, 0 }
func (a *plainAnswer) position() int { return a.frames }
func (a *plainAnswer) started() bool { return false }

func (a *plainAnswer) restart() {
	a.merged = completion{}
	a.dropEnd()
	a.frames, a.added = 0, 0
	a.answerMemory.Close()
}

func (a *plainAnswer) complete() error {
	for _, data := range a.end {
		if err := a.merged.add(data); err != nil {
			return err
		}
	}
	data, err := json.Marshal(a.merged.document(a.id, a.model, a.frames))
	if err != nil {
		return err
	}
	a.w.Header().Set(outcome.HeaderOutcome, string(outcome.Completed))
	return a.writeWhole(http.StatusOK, "application/json", append(data, '\n'))
}

// abort is never called, since a plain answer starts only when it is complete.
func (a *plainAnswer) abort(outcome.Outcome, string) {}
