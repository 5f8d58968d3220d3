package entry

import (
	"testing"
)

func TestParseTokenRequest(t *testing.T) {
	cases := map[string]struct {
		body      string
		maxTokens int
		wantErr   bool
	}{
		"complete":   {body: `{"prompt":"a","max_tokens":7}`, maxTokens: 7},
		"default":    {body: `{"prompt":"a"}`, maxTokens: defaultMaxTokens},
		"no prompt":  {body: `{"max_tokens":7}`, wantErr: true},
		"negative":   {body: `{"prompt":"a","max_tokens":-1}`, wantErr: true},
		"too many":   {body: `{"prompt":"a","max_tokens":99999999}`, wantErr: true},
		"not JSON":   {body: `prompt=a`, wantErr: true},
		"wrong type": {body: `{"prompt":1}`, wantErr: true},
		"empty body": {body: ``, wantErr: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := parseTokenRequest([]byte(c.body))
			if (err != nil) != c.wantErr || (err == nil && request.MaxTokens != c.maxTokens) {
				t.Errorf("got %d tokens, %v", request.MaxTokens, err)
			}
		})
	}
}

func FuzzParseTokenRequest(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":7,"seed":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseTokenRequest(body)
		if err == nil && (request.Prompt == "" || request.MaxTokens < 1 || request.MaxTokens > maxTokensLimit) {
			t.Errorf("accepted %+v", request)
		}
	})
}
