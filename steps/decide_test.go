package steps

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/object"
)

func TestDecide(t *testing.T) {
	sealed := Record{Step: 5, Attempt: 2, State: stateSealed, Request: "r"}
	open := Record{Step: 5, Attempt: 3, State: stateOpen, Request: "r"}
	cases := map[string]struct {
		record  Record
		exists  bool
		step    uint64
		request string
		want    decision
	}{
		"no record":                {step: 7, request: "r", want: sampleStep{attempt: 1}},
		"the sealed step":          {record: sealed, exists: true, step: 5, request: "r", want: deliverStep{}},
		"the next step":            {record: sealed, exists: true, step: 6, request: "x", want: sampleStep{attempt: 1}},
		"a superseded step":        {record: open, exists: true, step: 5, request: "r", want: sampleStep{attempt: 3}},
		"ahead of an open step":    {record: open, exists: true, step: 6, request: "r", want: refuseStep{expected: 5}},
		"other groups":             {record: sealed, exists: true, step: 5, request: "x", want: refuseStep{expected: 5}},
		"an acknowledged step":     {record: sealed, exists: true, step: 4, request: "r", want: refuseStep{expected: 6}},
		"a step ahead of the next": {record: sealed, exists: true, step: 8, request: "r", want: refuseStep{expected: 6}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assertDecision(t, decide(c.record, c.exists, c.step, c.request), c.want) })
	}
}

func assertDecision(t *testing.T, got, want decision) {
	t.Helper()
	if r, ok := got.(refuseStep); ok {
		if r.reason == "" {
			t.Error("the refusal has no reason")
		}
		r.reason = ""
		got = r
	}
	if got != want {
		t.Errorf("got %#v, want %#v", got, want)
	}
}

// keeperModel is a node that may act as the trainer's keeper.
type keeperModel struct {
	record      Record
	version     uint64
	unsealed    *Record
	baseVersion uint64
}

// simulation models a trainer, several keepers and one platform under random
// events.
type simulation struct {
	t          *rapid.T
	client     *object.Client
	ctx        context.Context
	platform   *objapi.Platform
	keepers    []*keeperModel
	step       uint64
	operations int
	delivered  map[uint64]string
	sealed     map[string]string
}

// open models Keeper.openRun: read, decide, start a sample set or deliver.
func (s *simulation) open(k *keeperModel, step uint64) {
	var record Record
	version, err := object.GetRecord(s.ctx, s.client, recordKind, "t", &record)
	if err == nil {
		k.record, k.version = record, version
	}
	switch d := decide(k.record, k.version > 0, step, "r").(type) {
	case sampleStep:
		s.operations++
		k.baseVersion = k.version
		k.unsealed = &Record{
			OperationID: fmt.Sprint("op-", s.operations), Step: step, Attempt: d.attempt,
			State: stateSealed, Request: "r", Digest: fmt.Sprint("digest-", s.operations),
		}
	case deliverStep:
		s.deliver(k.record)
	case refuseStep:
		if step == s.step && d.expected > step && s.delivered[step] == "" {
			s.t.Fatalf("step %d was refused as acknowledged but never delivered: %s", step, d.reason)
		}
	}
}

// seal models Keeper.seal.
func (s *simulation) seal(k *keeperModel) {
	if k.unsealed == nil {
		return
	}
	record := *k.unsealed
	k.unsealed = nil
	version, err := object.PutRecord(s.ctx, s.client, recordKind, "t", record, k.baseVersion)
	if err != nil {
		return
	}
	id := fmt.Sprintf("%d/%d", record.Step, record.Attempt)
	if before, ok := s.sealed[id]; ok && before != record.Digest {
		s.t.Fatalf("step/attempt %s was sealed as %s and as %s", id, before, record.Digest)
	}
	s.sealed[id] = record.Digest
	k.record, k.version = record, version
	s.deliver(record)
}

// supersede models Keeper.supersede with the record that the keeper last read.
func (s *simulation) supersede(k *keeperModel) {
	if k.record.State != stateSealed || s.delivered[k.record.Step] != "" {
		return
	}
	s.operations++
	next := k.record
	next.OperationID, next.State, next.Attempt = fmt.Sprint("op-", s.operations), stateOpen, k.record.Attempt+1
	version, err := object.PutRecord(s.ctx, s.client, recordKind, "t", next, k.version)
	if err == nil {
		k.record, k.version = next, version
	}
}

// deliver sends a sealed sample set to the trainer. The drawn value decides
// whether the answer arrives complete.
func (s *simulation) deliver(record Record) {
	if record.Step != s.step || !rapid.Bool().Draw(s.t, "complete") {
		return
	}
	if got := s.delivered[record.Step]; got != "" && got != record.Digest {
		s.t.Fatalf("step %d was delivered completely as %s and as %s", record.Step, got, record.Digest)
	}
	s.delivered[record.Step] = record.Digest
}

func TestStepsExactlyOnceProperty(t *testing.T) {
	platform, err := objapi.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	client := object.NewClient(platform.URL(), object.WithBudget(1e9, 1e9))
	defer client.Close()
	for range 20 {
		rapid.Check(t, func(t *rapid.T) { stepsExactlyOnce(t, client, platform) })
	}
}

// stepsExactlyOnce runs one random sequence of events.
func stepsExactlyOnce(t *rapid.T, client *object.Client, platform *objapi.Platform) {
	s := &simulation{
		t: t, client: client, ctx: context.Background(), platform: platform, step: 1,
		delivered: make(map[uint64]string), sealed: make(map[string]string),
	}
	if err := client.Delete(s.ctx, recordKind, "t"); err != nil && !errors.Is(err, object.ErrNotFound) {
		t.Fatal(err)
	}
	for range 3 {
		s.keepers = append(s.keepers, &keeperModel{})
	}
	keeper := func() *keeperModel { return s.keepers[rapid.IntRange(0, 2).Draw(t, "keeper")] }
	t.Repeat(map[string]func(*rapid.T){
		"call for the current step":  func(*rapid.T) { s.open(keeper(), s.step) },
		"call for the previous step": func(*rapid.T) { s.open(keeper(), max(1, s.step-1)) },
		"seal":                       func(*rapid.T) { s.seal(keeper()) },
		"supersede":                  func(*rapid.T) { s.supersede(keeper()) },
		"crash": func(*rapid.T) {
			*keeper() = keeperModel{}
		},
		"lose an answer": func(*rapid.T) {
			platform.SetFaults(objapi.Faults{LoseAnswers: 1})
			s.seal(keeper())
			platform.SetFaults(objapi.Faults{})
		},
		"next step": func(*rapid.T) {
			if s.delivered[s.step] != "" {
				s.step++
			}
		},
	})
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"groups":[{"group":"g","prompt":"p"}]}`))
	f.Add([]byte(`{"groups":[{"group":"a/b"},{"group":""}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := ParseRequest(body, testTrainer(t))
		if err == nil && (len(request.Groups) == 0 || len(request.Groups) > 8) {
			t.Errorf("accepted %d groups", len(request.Groups))
		}
	})
}

func TestEncodeGroups(t *testing.T) {
	noise := make([]byte, 3*object.MaxValue)
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(noise)
	cases := map[string][]Group{
		"small":                          {{Group: "a", Samples: []Sample{{ID: "1", Text: "x <&> y"}}}, {Group: "b"}},
		"a group larger than one object": {{Group: "a", Samples: []Sample{{ID: "1", Text: hex.EncodeToString(noise)}}}},
	}
	for name, groups := range cases {
		t.Run(name, func(t *testing.T) {
			chunks, digest, err := encodeGroups(groups)
			if err != nil {
				t.Fatal(err)
			}
			var packed []byte
			for _, c := range chunks {
				if len(c) > object.MaxValue {
					t.Errorf("a chunk of %d bytes exceeds object.MaxValue", len(c))
				}
				packed = append(packed, c...)
			}
			decoded, decodedDigest, err := decodeGroups(packed)
			if err != nil || decodedDigest != digest || len(decoded) != len(groups) {
				t.Errorf("got %d groups with digest %s, want %d with %s: %v", len(decoded), decodedDigest, len(groups), digest, err)
			}
		})
	}
}

func FuzzDecodeGroups(f *testing.F) {
	chunks, _, err := encodeGroups([]Group{{Group: "a"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0])
	f.Fuzz(func(_ *testing.T, packed []byte) { _, _, _ = decodeGroups(packed) })
}
