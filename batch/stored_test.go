package batch

import (
	"testing"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestObjectsOfEarlierRelease guards against stored objects that the release before or this
// one can't read. They were written by ba64543: each type with all fields set, through
// json.Marshal.
func TestObjectsOfEarlierRelease(t *testing.T) {
	check.Equal(t, "kinds", []string{kindBodies, kindHeads, kindChunks, kindEnds, kindCheckpoints},
		[]string{"batch-bodies", "batch-heads", "batch-chunks", "batch-ends", "batch-begun"})
	check.Equal(t, "name of a part", numberedName("b1", 3), "b1.0003")
	check.Stored(t, "head", `{"id":"b1","host":"portal.example","path":"/rollout/b1","model":"tickets","step":7,"items":12,`+
		`"keeper":"edge-1","incarnation":1796434815500000001,"tokens":240,"accepted_ms":1796434815600,"parts":2,"team":"red"}`, Head{
		ID: "b1", Host: "portal.example", Path: "/rollout/b1", Model: "tickets", Step: 7, Items: 12, Keeper: "edge-1",
		Incarnation: 1796434815500000001, Tokens: 240, AcceptedMs: 1796434815600, BodyParts: 2, Team: "red",
	})
	check.Stored(t, "chunk", `{"first":3,"results":[{"item":"b1-0-0","text":"b1-0-0:0\nb1-0-0:1","versions":[6,7],"score":"3e1b.07.9"},`+
		`{"item":"b1-0-1","failed":true,"text":""}],"keeper":"edge-1"}`, chunk{First: 3, Keeper: "edge-1", Results: []Result{
		{Item: "b1-0-0", Text: "b1-0-0:0\nb1-0-0:1", Versions: []int{6, 7}, Score: "3e1b.07.9"}, {Item: "b1-0-1", Failed: true},
	}})
	check.Stored(t, "end", `{"ended_ms":1796434822000}`, ending{EndedMs: 1796434822000})
	check.Stored(t, "body", `{"raw":"eyJzdGVwIjo3fQ=="}`, bodyPart{Raw: []byte(`{"step":7}`)})
	check.Stored(t, "checkpoint", `[{"item":"b1-0-2","texts":["x","y"],"last":1,"versions":[7],"software":"lm-pool/v1","whole":true,`+
		`"score":"3e1b.07.a","scorer":"b1-0-2-reward"}]`, []PartialOutput{{
		Item: "b1-0-2", Texts: []string{"x", "y"}, LastEvent: 1, Versions: []int{7}, Software: "lm-pool/v1", Complete: true,
		Score: "3e1b.07.a", RewardID: "b1-0-2-reward",
	}})
}
