package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantloft/currantloft/engine"
	"github.com/currantloft/currantloft/fakes/server"
)

type (
	// CacheEvent reports that a prompt was stored in the prefix cache or evicted.
	CacheEvent struct {
		// Seq is the sequence number; a missing number is a lost event.
		Seq int `json:"seq"`
		// Prefix is the hash of the prompt.
		Prefix string `json:"prefix"`
		// Stored is true for a stored prompt, false for an evicted one.
		Stored bool `json:"stored"`
	}

	// generatedToken is a token and the weight version that generated it.
	generatedToken struct {
		text    string
		version uint64
	}

	// stream is an answer that is being generated.
	stream struct {
		request  engine.Request
		length   int
		slowdown int
		steps    int
		readyAt  time.Time

		mu               sync.Mutex
		generated        []generatedToken
		notifyInterval   int
		nextIndex        int
		done             bool
		failed           bool
		changed          chan struct{}
		readersChangedAt time.Time
		readers          int
	}
)

func newStream(request engine.Request, options Options) *stream {
	lengthHash := xxhash.Sum64String(fmt.Sprintf("%s|%d", request.Prompt, request.Seed))
	s := &stream{
		request:          request,
		length:           request.MaxTokens,
		nextIndex:        len(request.Generated),
		slowdown:         1,
		changed:          make(chan struct{}),
		readersChangedAt: time.Now(),
		notifyInterval:   max(1, options.ChunkTokens),
	}
	if !options.FixedLength && request.MaxTokens > 1 {
		s.length = request.MaxTokens/2 + int(lengthHash%uint64(request.MaxTokens/2+1))
	}
	streamHash := xxhash.Sum64String(request.Stream)
	if int(streamHash%100) < options.StragglerPercent {
		s.slowdown = stragglerFactor
	}
	return s
}

// maxTokenBytes bounds the size of a token's text, and of its key without the
// prompt.
const maxTokenBytes = 64

// Token returns the token that a weight version generates at an index.
func Token(prompt string, seed uint64, index int, version uint64) string {
	key := make([]byte, 0, len(prompt)+maxTokenBytes)
	key = append(append(key, prompt...), '|')
	key = append(strconv.AppendUint(key, seed, 10), '|')
	key = append(strconv.AppendInt(key, int64(index), 10), '|')
	key = strconv.AppendUint(key, version, 10)
	h := xxhash.Sum64(key)
	text := make([]byte, 0, maxTokenBytes)
	for shift := 12; shift >= 0; shift -= 4 {
		text = append(text, "0123456789abcdef"[h>>shift&0xf])
	}
	text = strconv.AppendUint(append(text, '.'), version, 10)
	return string(append(text, ' '))
}

func (s *stream) add(token string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generated = append(s.generated, generatedToken{text: token, version: version})
	s.nextIndex++
	s.done = s.nextIndex >= s.length
	// Readers wait for a full chunk, so waking them earlier has no effect.
	if s.done || len(s.generated)%s.notifyInterval == 0 {
		s.notifyReaders()
	}
}

func (s *stream) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = true
	s.notifyReaders()
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) addReaders(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers += delta
	s.readersChangedAt = time.Now()
}

func (s *stream) orphaned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && time.Since(s.readersChangedAt) > orphanTimeout
}

// chunksFrom returns the tokens from index on, in one chunk for each run of tokens of
// the same version, and a channel that is closed on the next change.
func (s *stream) chunksFrom(index int) (chunks []engine.Chunk, done, failed bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := len(s.request.Generated)
	start := min(max(0, index-base), len(s.generated))
	for i, token := range s.generated[start:] {
		last := len(chunks) - 1
		if last >= 0 && chunks[last].Version == token.version {
			chunks[last].Tokens = append(chunks[last].Tokens, token.text)
			continue
		}
		chunks = append(chunks, engine.Chunk{First: base + start + i, Tokens: []string{token.text}, Version: token.version})
	}
	return chunks, s.done, s.failed, s.changed
}

// handleStart accepts a new stream, whatever the load, and writes it to the connection.
func (e *Engine) handleStart(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if err := server.DecodeJSON(r, &request); err != nil || request.MaxTokens < 1 || request.Stream == "" {
		http.Error(w, "want stream, prompt and max_tokens", http.StatusBadRequest)
		return
	}
	s := newStream(request, e.options)
	e.mu.Lock()
	if e.streams[request.Stream] != nil {
		e.mu.Unlock()
		http.Error(w, "the stream id is taken", http.StatusConflict)
		return
	}
	e.lastStart = time.Now()
	e.streams[request.Stream] = s
	e.records[request.Stream] = &Record{}
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	if strings.Contains(request.Prompt, CrashMark) {
		e.tasks.Go(e.Crash)
	}
	e.wakeDecoder()
	e.follow(w, r, s, len(request.Generated))
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil || err != nil {
		http.NotFound(w, r)
		return
	}
	e.follow(w, r, s, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("id")]
	if s != nil {
		e.removeStream(r.PathValue("id"), s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// removeStream removes a stream and fails its readers; the caller holds e.mu.
func (e *Engine) removeStream(id string, s *stream) {
	delete(e.streams, id)
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	s.fail()
}

// follow writes a stream's tokens to a connection until the stream ends.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	s.addReaders(1)
	defer s.addReaders(-1)
	e.mu.Lock()
	stallsBefore := e.stalls
	e.mu.Unlock()
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	encoder := json.NewEncoder(w)
	for {
		chunks, done, failed, changed := s.chunksFrom(from)
		if failed {
			panic(http.ErrAbortHandler)
		}
		if !done && tokensIn(chunks) < e.options.ChunkTokens {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		e.blockIfStalled(r, stallsBefore)
		for i, chunk := range chunks {
			chunk.Done = done && i == len(chunks)-1
			if encoder.Encode(chunk) != nil {
				return
			}
			from += len(chunk.Tokens)
		}
		if done && len(chunks) == 0 {
			_ = encoder.Encode(engine.Chunk{First: from, Done: true})
		}
		flusher.Flush()
		if done {
			return
		}
	}
}

// blockIfStalled blocks a connection that was open when SetFaults last stalled the
// open connections.
func (e *Engine) blockIfStalled(r *http.Request, stallsBefore int) {
	e.mu.Lock()
	stalled := e.stalls > stallsBefore
	e.mu.Unlock()
	if stalled {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func tokensIn(chunks []engine.Chunk) int {
	n := 0
	for _, c := range chunks {
		n += len(c.Tokens)
	}
	return n
}

func (e *Engine) wakeDecoder() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// decode is the batch loop: each step generates one token for each running stream.
func (e *Engine) decode() {
	for {
		pause, busy := e.decodeStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-e.stop:
				return
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-e.stop:
			timer.Stop()
			return
		}
	}
}

// decodeStep returns how long the step takes and whether there are streams left.
func (e *Engine) decodeStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.removeOrphans()
	now := time.Now()
	var remaining []*stream
	for _, s := range e.running {
		if now.Before(s.readyAt) || e.skipsStep(s) {
			remaining = append(remaining, s)
			continue
		}
		token := Token(s.request.Prompt, s.request.Seed, s.nextIndex, e.version)
		e.record(s, token)
		s.add(token, e.version)
		if s.done {
			e.records[s.request.Stream].Done = true
			continue
		}
		remaining = append(remaining, s)
	}
	e.running = remaining
	slow := max(1, e.faults.Slow)
	pause := time.Duration(float64(e.options.TokenTime) * slow * (1 + slowdownPerStream*float64(len(e.running))))
	return pause, len(e.running)+len(e.waiting) > 0
}

// skipsStep reports whether a stream gets no token in this step: a straggler gets
// one only in every s.slowdown steps.
func (e *Engine) skipsStep(s *stream) bool {
	s.steps++
	return s.steps%s.slowdown != 0
}

// record adds a token to the stream's Record.
func (e *Engine) record(s *stream, token string) {
	record := e.records[s.request.Stream]
	n := len(record.Ranges)
	if n > 0 && record.Ranges[n-1].Version == e.version {
		record.Ranges[n-1].Tokens = append(record.Ranges[n-1].Tokens, token)
		return
	}
	record.Ranges = append(record.Ranges, engine.Chunk{First: s.nextIndex, Tokens: []string{token}, Version: e.version})
}

// admit fills the batch; a prompt that is not in the prefix cache is prefilled first.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.BatchSize {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.readyAt = time.Now()
		if !e.lookUpPrompt(s.request.Prompt) {
			s.readyAt = s.readyAt.Add(time.Duration(len(s.request.Prompt)) * prefillTimePerByte)
		}
		e.running = append(e.running, s)
	}
}

// removeOrphans removes the streams that have had no reader for orphanTimeout.
func (e *Engine) removeOrphans() {
	for id, s := range e.streams {
		if s.orphaned() {
			e.removeStream(id, s)
		}
	}
}

// lookUpPrompt reports whether the prompt is in the prefix cache and makes it the
// most recently used one, evicting the least recently used one if the cache is full.
func (e *Engine) lookUpPrompt(prompt string) bool {
	prefix := strconv.FormatUint(xxhash.Sum64String(prompt), 16)
	if at := slices.Index(e.cachedPrompts, prefix); at >= 0 {
		e.cachedPrompts = append(slices.Delete(e.cachedPrompts, at, at+1), prefix)
		e.cacheHits++
		return true
	}
	if len(e.cachedPrompts) >= e.options.CachedPrefixes {
		e.addEvent(CacheEvent{Prefix: e.cachedPrompts[0]})
		e.cachedPrompts = e.cachedPrompts[1:]
	}
	e.cachedPrompts = append(e.cachedPrompts, prefix)
	e.addEvent(CacheEvent{Prefix: prefix, Stored: true})
	return false
}

// addEvent publishes an event, except for every lostEventInterval-th one, which
// leaves a gap in the sequence numbers.
func (e *Engine) addEvent(event CacheEvent) {
	e.eventSeq++
	event.Seq = e.eventSeq
	if e.eventSeq%lostEventInterval != 0 {
		e.events = append(e.events, event)
	}
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []CacheEvent{}
	for _, event := range e.events {
		if event.Seq > after {
			events = append(events, event)
		}
	}
	server.WriteJSON(w, http.StatusOK, events)
}

// TrueVersions returns the weight version that generated each token of a text, as
// encoded in the tokens. It returns nil if a token has none.
func TrueVersions(text string) []uint64 {
	var versions []uint64
	for _, token := range strings.Fields(text) {
		_, version, _ := strings.Cut(token, ".")
		n, err := strconv.ParseUint(version, 10, 64)
		if err != nil {
			return nil
		}
		versions = append(versions, n)
	}
	return versions
}
