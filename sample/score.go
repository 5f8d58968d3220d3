package sample

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/currantloft/currantloft/grade"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/waits"
)

const (
	maxScoreBytes = 64 << 10
	maxIdleConns  = 64
)

type (
	scoreRequest struct {
		ID     string `json:"id"`
		Prompt string `json:"prompt"`
		Text   string `json:"text"`
	}

	scoreResponse struct {
		ID    string  `json:"id"`
		Score float64 `json:"score"`
	}

	// scoreClient calls scoring services.
	scoreClient struct {
		client *http.Client
	}
)

func newScoreClient(answers *intact.Budget) *scoreClient {
	return &scoreClient{client: intact.NewClient(&http.Transport{
		DialContext: intact.Dial((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: maxIdleConns,
	}, answers)}
}

// scoreUntilAnswered repeats a scoring request, which is idempotent, until it is
// answered, ctx ends, or another answer is impossible: the text took an engine longer
// to generate than the scorer takes to come back. It calls failed after each failure.
func scoreUntilAnswered(ctx context.Context, request func() (float64, error), failed func()) (float64, error) {
	for failures := 1; ; failures++ {
		score, err := request()
		if err == nil || errors.Is(err, errNoScorer) || errors.Is(err, errTextOutdated) {
			return score, err
		}
		failed()
		if waits.For(ctx, grade.Backoff(failures)) != nil {
			return 0, err
		}
	}
}

// score requests the score of a sample once.
func (s *scoreClient) score(ctx context.Context, service specs.Scorer, request scoreRequest) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, service.Timeout())
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("encoding a sample for %s: %w", service.Name(), err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, service.URL()+"/v1/scores", bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("calling scorer %s: %w", service.Name(), err)
	}
	httpResponse, err := s.client.Do(httpRequest)
	if err != nil {
		return 0, fmt.Errorf("calling scorer %s: %w", service.Name(), err)
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("scorer %s answered %s", service.Name(), httpResponse.Status)
	}
	text, err := intact.ReadAll(httpResponse.Body, maxScoreBytes)
	if err != nil {
		return 0, fmt.Errorf("reading from scorer %s: %w", service.Name(), err)
	}
	var response scoreResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return 0, fmt.Errorf("reading from scorer %s: %w", service.Name(), err)
	}
	if response.ID != request.ID {
		return 0, fmt.Errorf("scorer %s answered for %q, asked for %q", service.Name(), response.ID, request.ID)
	}
	return response.Score, nil
}
