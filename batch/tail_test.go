package batch

import (
	"testing"
	"time"

	"github.com/currantloft/currantloft/fakes/check"
)

// TestTailIsCheckedOnceShared replays what a keeper learns of its batch, and checks when a
// read has to ask the store.
func TestTailIsCheckedOnceShared(t *testing.T) {
	const now = time.Hour
	for _, tc := range []struct {
		name      string
		events    func(s *tailState)
		unsettled bool
		want      bool
	}{
		{"only keeper", func(*tailState) {}, false, false},
		{"a host was found dead", func(*tailState) {}, true, true},
		{"a host was found dead, checked since", func(s *tailState) { s.confirm(now - confirmTTL/2) }, true, false},
		{"another keeper", func(s *tailState) { s.share() }, false, true},
		{"another keeper, checked since", func(s *tailState) { s.share(); s.confirm(now - confirmTTL/2) }, false, false},
		{"another keeper, checked long ago", func(s *tailState) { s.share(); s.confirm(now - confirmTTL) }, false, true},
		{"answers of checks out of order", func(s *tailState) {
			s.share()
			s.confirm(now - confirmTTL/2)
			s.confirm(now - confirmTTL)
		}, false, false},
		{"another keeper after a check", func(s *tailState) { s.confirm(now - time.Minute); s.share() }, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s tailState
			tc.events(&s)
			check.Equal(t, "must check", s.mustCheck(now, tc.unsettled), tc.want)
		})
	}
}
