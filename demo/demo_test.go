package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/steps"
)

func TestThinPath(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	logger := zap.NewNop()
	if testing.Verbose() {
		logger, _ = zap.NewDevelopment()
	}
	fleet, err := StartFleet(ctx, Size{Nodes: 4, Samplers: 4, Quotes: 2, Plains: 2, Engine: model.Options{Version: 1}}, logger)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	client := caller.New(fleet.URLs(), "a")
	defer client.Close()
	for _, u := range fleet.URLs() {
		for {
			if _, err := client.Status(ctx, u); err == nil {
				break
			}
		}
	}
	applied, err := client.Apply(ctx, fleet.URLs()[0], active.Request{OperationID: "op1", Files: fleet.Files(Declaration{Serve: 1, Trainers: []string{"t1"}, Groups: 4, Samples: 4, MaxTokens: 32})})
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if err := client.AwaitGeneration(ctx, fleet.URLs(), applied.Generation); err != nil {
		t.Fatal(err)
	}
	t.Log("in force", time.Since(begun))
	for i := range 10 {
		begun = time.Now()
		a, err := client.Tokens(ctx, "quote", caller.Request{ID: fmt.Sprint("q", i), Prompt: "hello", MaxTokens: 16})
		t.Log(time.Since(begun), err, len(a.Tokens()), a.End())
	}
	for _, u := range fleet.URLs() {
		a, err := client.Plain(ctx, u, "billing", "x/y", "b1", []byte("{}"))
		t.Log(string(a), err)
	}
	for s := range uint64(3) {
		begun = time.Now()
		got, err := client.Step(ctx, "t1", s+1, []steps.GroupRequest{{Group: "a", Prompt: "pa"}, {Group: "b", Prompt: "pb"}})
		t.Log(time.Since(begun), err, got.Summary())
	}
	t.Log(fleet.platform.Counts())
}
