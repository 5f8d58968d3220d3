package object_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/wirepb"
)

type record struct {
	OperationID string `json:"operation"`
	Value       int    `json:"value"`
}

func (r record) Operation() string { return r.OperationID }

func startPlatform(t *testing.T, options ...object.Option) (*objapi.Platform, *object.Client) {
	t.Helper()
	platform, err := objapi.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	client := object.NewClient(platform.URL(), options...)
	t.Cleanup(client.Close)
	return platform, client
}

func put(ctx context.Context, c *object.Client, operation string, version uint64) (uint64, error) {
	return object.PutRecord(ctx, c, "kind", "name", record{OperationID: operation}, version)
}

func TestPutRecord(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	platform, client := startPlatform(t)
	first, err := put(ctx, client, "a", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a lost answer is resolved by reading back", func(t *testing.T) {
		platform.SetFaults(objapi.Faults{LoseAnswers: 1})
		second, err := put(ctx, client, "b", first)
		if err != nil || second <= first {
			t.Fatalf("got version %d, %v", second, err)
		}
	})
	t.Run("an old version is a conflict", func(t *testing.T) {
		var conflict *object.ConflictError
		if _, err := put(ctx, client, "c", first); !errors.As(err, &conflict) {
			t.Fatalf("got %v, want a conflict", err)
		}
	})
	t.Run("repeating an operation is no conflict", func(t *testing.T) {
		if _, err := put(ctx, client, "b", first); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("a platform that is down leaves the outcome unknown", func(t *testing.T) {
		platform.SetFaults(objapi.Faults{Down: true})
		limited, stop := context.WithTimeout(ctx, 300*time.Millisecond)
		defer stop()
		_, err := put(limited, client, "d", first)
		var unknown *object.ReadBackError
		if !errors.As(err, &unknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
	})
}

func TestPeerFallback(t *testing.T) {
	platform, _ := startPlatform(t)
	peer := object.NewClient(platform.URL())
	defer peer.Close()
	fallback := func(ctx context.Context, call *wirepb.PlatformCall) (*wirepb.PlatformReply, error) {
		return peer.Serve(ctx, call), nil
	}
	client := object.NewClient("http://127.0.0.1:1", object.WithPeerFallback(fallback))
	defer client.Close()
	ctx := context.Background()
	version, err := client.Put(ctx, "kind", "name", []byte("x"), 0)
	if err != nil {
		t.Fatal(err)
	}
	value, err := client.Get(ctx, "kind", "name")
	if err != nil || string(value.Body()) != "x" || value.Version() != version {
		t.Fatalf("got %q at %d, %v", value.Body(), value.Version(), err)
	}
	if _, err := client.Get(ctx, "kind", "other"); !errors.Is(err, object.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	var conflict *object.ConflictError
	if _, err := client.Put(ctx, "kind", "name", nil, 0); !errors.As(err, &conflict) || conflict.Version != version {
		t.Errorf("got %v, want a conflict at %d", err, version)
	}
	platform.SetFaults(objapi.Faults{Down: true})
	if reply := peer.Serve(ctx, &wirepb.PlatformCall{Method: http.MethodGet, Kind: "kind", Name: "name"}); reply.GetStatus() != 0 {
		t.Errorf("status %d from a platform that is down, want 0", reply.GetStatus())
	}
}
