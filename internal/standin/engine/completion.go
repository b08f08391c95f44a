package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// charactersPerToken is the coarse ratio by which prompts are counted.
	charactersPerToken = 4
	// shortestAnswer and answerSpread bound the length of an answer in tokens.
	shortestAnswer = 8
	answerSpread   = 57
)

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string              `json:"model"`
	Messages  []completionMessage `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	text := promptText(&request)
	faults, crashed, hasModel := s.accept(r.Header.Get("X-Request-Id"), request.Model, text)
	switch {
	case faults.Refuse:
		if faults.RestSeconds > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(faults.RestSeconds))
		}
		refuse(w, http.StatusServiceUnavailable, "refused by a fault switch")
		return
	case !hasModel:
		refuse(w, http.StatusServiceUnavailable, "model "+request.Model+" is not loaded")
		return
	case faults.FailStatus != 0:
		http.Error(w, "failed by a fault switch", faults.FailStatus)
		return
	}
	if faults.SoftwareVersion != "" {
		w.Header().Set("Heatherbarrow-Software-Version", faults.SoftwareVersion)
	}
	resume, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	total := max(answerLength(text, request.MaxTokens)-resume, 1)
	j := &job{priority: priority, total: total, tokens: make(chan struct{}, total)}
	s.start(j, text)
	defer s.finish(j)
	st := stream{job: j, id: r.Header.Get("X-Request-Id"), first: resume, faults: faults, crashed: crashed}
	if request.Options.IncludeUsage || !request.Stream {
		st.prompt = len(text)/charactersPerToken + 1
	}
	s.writeStream(w, r, st)
}

// accept counts the run of a request and crashes the engine when the request is
// the marked one.
func (s *Server) accept(id, model, text string) (faults Faults, crashed <-chan struct{}, hasModel bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashed = s.crashes
	hasModel = s.orders.isLoaded(model, time.Now())
	if s.faults.Refuse || !hasModel {
		return s.faults, crashed, hasModel
	}
	s.counts.Requests[id]++
	if s.faults.CrashOn != "" && strings.Contains(text, s.faults.CrashOn) {
		go s.crashAfter(time.Duration(s.faults.CrashOnDelayMS) * time.Millisecond)
	}
	return s.faults, crashed, hasModel
}

func (s *Server) start(j *job, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prompt := len(text)/charactersPerToken + 1
	j.prefill = prompt - s.cache.use(text)/charactersPerToken
	s.batch.add(j)
}

func (s *Server) finish(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.remove(j)
	if j.produced < j.total {
		s.counts.Canceled++
	}
}

// stream is the answer to one request.
type stream struct {
	job     *job
	id      string
	first   int // position of the first token
	prompt  int // tokens of the prompt to report as usage; 0 for no report
	faults  Faults
	crashed <-chan struct{}
}

func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, st stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range st.job.total {
		select {
		case <-st.job.tokens:
		case <-st.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if st.faults.CutAfter > 0 && i == st.faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if st.faults.EndAfter > 0 && i == st.faults.EndAfter {
			return
		}
		st.writeFrame(w, i)
		if controller.Flush() != nil {
			return
		}
	}
	if st.prompt > 0 {
		st.writeUsage(w)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (st *stream) writeUsage(w http.ResponseWriter) {
	answer := st.first + st.job.total
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[],"+
		"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n", st.id, st.prompt, answer, st.prompt+answer)
}

func (st *stream) writeFrame(w http.ResponseWriter, i int) {
	id, index := st.id, st.first+i
	if st.faults.ForeignFrameAt > 0 && i == st.faults.ForeignFrameAt {
		id = "another-request"
	}
	if st.faults.RepeatFrameAt > 0 && i == st.faults.RepeatFrameAt {
		index--
	}
	finish := "null"
	if i == st.job.total-1 {
		finish = `"stop"`
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"object\":\"chat.completion.chunk\",\"choices\":"+
		"[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":%s}]}\n\n", id, index, Token(st.id, index), finish)
}

// Token returns the text of the token at a position of a request's answer, so
// that a test can check every byte that a caller receives.
func Token(requestID string, position int) string {
	return fmt.Sprintf("%s:%d ", requestID, position)
}

func promptText(request *completionRequest) string {
	var b strings.Builder
	for i := range request.Messages {
		b.WriteString(request.Messages[i].Content)
	}
	return b.String()
}

// answerLength derives the length of an answer from the prompt, so that a
// resumed request has the same continuation on every replica.
func answerLength(text string, limit int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	n := shortestAnswer + int(h.Sum32()%answerSpread)
	if i := strings.Index(text, "[length="); i >= 0 {
		end := slices.Index([]byte(text[i:]), ']')
		if wanted, err := strconv.Atoi(text[i+len("[length=") : i+max(end, len("[length="))]); err == nil && wanted > 0 {
			n = wanted
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// refuse answers that the request was refused before it ran.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Heatherbarrow-Outcome", "not-run")
	http.Error(w, message, status)
}
