package edge

import (
	"time"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/quota"
	"github.com/currantloft/currantloft/wirepb"
)

// encodeUpdates encodes updates for a host whose boot clock is ahead of this host's by at
// least the given time, if that is known.
func encodeUpdates(updates []mirror.Update, ahead time.Duration, known bool) *wirepb.StoreNews {
	out := &wirepb.StoreNews{}
	for _, update := range updates {
		kind := &wirepb.KindNews{Kind: update.Kind, At: update.Revision, Previous: update.Previous, Away: update.Unavailable, Names: update.Names}
		if known && update.ReadAt > 0 {
			kind.ReadMs = max(0, (update.ReadAt + ahead).Milliseconds())
		}
		for _, c := range update.Changes {
			kind.Changes = append(kind.Changes, &wirepb.StoreChange{
				Name: c.Entry.Name, Revision: c.Entry.Revision, Spec: c.Entry.Spec, Removed: c.Removed,
			})
		}
		out.Kinds = append(out.Kinds, kind)
	}
	return out
}

func decodeUpdates(in *wirepb.StoreNews) []mirror.Update {
	var updates []mirror.Update
	for _, kind := range in.GetKinds() {
		update := mirror.Update{
			Kind: kind.GetKind(), Revision: kind.GetAt(), Previous: kind.GetPrevious(), Unavailable: kind.GetAway(), Names: kind.GetNames(),
			ReadAt: time.Duration(max(0, kind.GetReadMs())) * time.Millisecond,
		}
		for _, c := range kind.GetChanges() {
			update.Changes = append(update.Changes, object.Change{
				Entry:   object.Entry{Name: c.GetName(), Revision: c.GetRevision(), Spec: c.GetSpec()},
				Removed: c.GetRemoved(),
			})
		}
		updates = append(updates, update)
	}
	return updates
}

func encodePage(page batch.Page) *wirepb.BatchPage {
	out := &wirepb.BatchPage{Kept: true, Total: int64(page.Total), Next: int64(page.Next), Checked: page.Checked}
	for _, r := range page.Results {
		result := &wirepb.BatchResult{Item: r.Item, Failed: r.Failed, Text: []byte(r.Text), Score: r.Score}
		for _, v := range r.Versions {
			result.Versions = append(result.Versions, int64(v))
		}
		out.Results = append(out.Results, result)
	}
	return out
}

func decodePage(in *wirepb.BatchPage) batch.Page {
	page := batch.Page{Total: int(in.GetTotal()), Next: int(in.GetNext()), Checked: in.GetChecked()}
	for _, r := range in.GetResults() {
		result := batch.Result{Item: r.GetItem(), Failed: r.GetFailed(), Text: string(r.GetText()), Score: r.GetScore()}
		for _, v := range r.GetVersions() {
			result.Versions = append(result.Versions, int(v))
		}
		page.Results = append(page.Results, result)
	}
	return page
}

func encodePartials(partials []batch.PartialOutput) *wirepb.BatchRests {
	out := &wirepb.BatchRests{}
	for _, r := range partials {
		partial := &wirepb.BatchRest{
			Item: r.Item, From: int64(r.Offset), Last: int64(r.LastEvent), Whole: r.Complete, Score: r.Score, Scorer: r.RewardID,
			Software: string(r.Software), Preceding: r.Preceding,
		}
		for _, text := range r.Texts {
			partial.Texts = append(partial.Texts, []byte(text))
		}
		for _, v := range r.Versions {
			partial.Versions = append(partial.Versions, int64(v))
		}
		out.Rests = append(out.Rests, partial)
	}
	return out
}

func decodePartials(in *wirepb.BatchRests) []batch.PartialOutput {
	var partials []batch.PartialOutput
	for _, r := range in.GetRests() {
		partial := batch.PartialOutput{
			Item: r.GetItem(), Offset: int(r.GetFrom()), LastEvent: int(r.GetLast()), Complete: r.GetWhole(),
			Score: r.GetScore(), RewardID: r.GetScorer(), Software: fleet.Software(r.GetSoftware()),
			Preceding: r.GetPreceding(),
		}
		for _, text := range r.GetTexts() {
			partial.Texts = append(partial.Texts, string(text))
		}
		for _, v := range r.GetVersions() {
			partial.Versions = append(partial.Versions, int(v))
		}
		partials = append(partials, partial)
	}
	return partials
}

func encodeNotification(n batch.Notification) *wirepb.BatchNotice {
	notice := &wirepb.BatchNotice{
		Id: n.Head.ID, Host: n.Head.Host, Path: n.Head.Path, Model: n.Head.Model, Step: int64(n.Head.Step),
		Items: int64(n.Head.Items), Keeper: n.Head.Keeper, Incarnation: n.Head.Incarnation,
		AcceptedMs: n.Head.AcceptedMs, Parts: int64(n.Head.BodyParts), Tokens: int64(n.Head.Tokens), Ended: n.Ended, Handed: n.HandedOver, Taken: n.TakenOver,
	}
	if !n.Head.TeamUnknown {
		notice.Team = &n.Head.Team
	}
	return notice
}

func decodeNotification(n *wirepb.BatchNotice) batch.Notification {
	return batch.Notification{
		Head: batch.Head{
			ID: n.GetId(), Host: n.GetHost(), Path: n.GetPath(), Model: n.GetModel(), Step: int(n.GetStep()),
			Items: int(n.GetItems()), Keeper: n.GetKeeper(), Incarnation: n.GetIncarnation(),
			AcceptedMs: n.GetAcceptedMs(), BodyParts: int(n.GetParts()), Tokens: int(n.GetTokens()), Team: n.GetTeam(),
			TeamUnknown: n.Team == nil,
		},
		Ended: n.GetEnded(), HandedOver: n.GetHanded(), TakenOver: n.GetTaken(),
	}
}

func encodeSuspects(list []poison.Suspect) []*wirepb.Suspect {
	var out []*wirepb.Suspect
	for _, s := range list {
		out = append(out, &wirepb.Suspect{
			Fingerprint: s.Fingerprint, Crashes: uint32(s.Crashes), RemainingMs: s.Remaining.Milliseconds(),
		})
	}
	return out
}

func decodeSuspects(in []*wirepb.Suspect) []poison.Suspect {
	var list []poison.Suspect
	for _, s := range in {
		list = append(list, poison.Suspect{
			Fingerprint: s.GetFingerprint(), Crashes: int(s.GetCrashes()),
			Remaining: time.Duration(s.GetRemainingMs()) * time.Millisecond,
		})
	}
	return list
}

func encodeNeed(need quota.Need) *wirepb.EndpointLimit {
	out := encodeFact(need.Fact)
	out.Count = int64(need.Count)
	return out
}

func decodeNeed(in *wirepb.EndpointLimit) quota.Need {
	return quota.Need{Fact: decodeFact(in), Count: int(in.GetCount())}
}

func encodeGrant(grant quota.Grant) *wirepb.EndpointLimit {
	out := encodeFact(grant.Fact)
	out.Count, out.NextMs = int64(grant.Count), grant.Next.Milliseconds()
	return out
}

func decodeGrant(in *wirepb.EndpointLimit) quota.Grant {
	return quota.Grant{Fact: decodeFact(in), Count: int(in.GetCount()), Next: time.Duration(in.GetNextMs()) * time.Millisecond}
}

func encodeFact(fact quota.Fact) *wirepb.EndpointLimit {
	rate, named := fact.Limit.Rate()
	return &wirepb.EndpointLimit{Endpoint: fact.Endpoint, Named: named, Rate: rate, AgeMs: fact.Age.Milliseconds()}
}

func decodeFact(in *wirepb.EndpointLimit) quota.Fact {
	fact := quota.Fact{Endpoint: in.GetEndpoint(), Age: time.Duration(in.GetAgeMs()) * time.Millisecond}
	if in.GetNamed() {
		fact.Limit = quota.PerSecond(in.GetRate())
	}
	return fact
}
