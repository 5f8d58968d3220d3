package entry

import (
	"testing"
)

func TestParseTokens(t *testing.T) {
	cases := map[string]struct {
		body string
		most int
		bad  bool
	}{
		"whole":         {body: `{"prompt":"a","max_tokens":7}`, most: 7},
		"default":       {body: `{"prompt":"a"}`, most: maxTokensElse},
		"no prompt":     {body: `{"max_tokens":7}`, bad: true},
		"negative":      {body: `{"prompt":"a","max_tokens":-1}`, bad: true},
		"too many":      {body: `{"prompt":"a","max_tokens":99999999}`, bad: true},
		"not JSON":      {body: `prompt=a`, bad: true},
		"wrong type":    {body: `{"prompt":1}`, bad: true},
		"an empty body": {body: ``, bad: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := parseTokens([]byte(c.body))
			if (err != nil) != c.bad || (err == nil && request.MaxTokens != c.most) {
				t.Errorf("got %d tokens, %v", request.MaxTokens, err)
			}
		})
	}
}

func FuzzParseTokens(f *testing.F) {
	f.Add([]byte(`{"prompt":"a","max_tokens":7,"seed":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseTokens(body)
		if err == nil && (request.Prompt == "" || request.MaxTokens < 1 || request.MaxTokens > maxTokensMost) {
			t.Errorf("accepted %+v", request)
		}
	})
}
