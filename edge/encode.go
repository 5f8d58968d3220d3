package edge

import (
	"time"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/mirror"
	"github.com/currantloft/currantloft/object"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/wirepb"
)

func encodeNews(news []mirror.News) *wirepb.StoreNews {
	out := &wirepb.StoreNews{}
	for _, n := range news {
		kind := &wirepb.KindNews{Kind: n.Kind, At: n.At, Away: n.Away}
		for _, c := range n.Changes {
			kind.Changes = append(kind.Changes, &wirepb.StoreChange{
				Name: c.Entry.Name, Revision: c.Entry.Revision, Spec: c.Entry.Spec, Removed: c.Removed,
			})
		}
		out.Kinds = append(out.Kinds, kind)
	}
	return out
}

func decodeNews(in *wirepb.StoreNews) []mirror.News {
	var news []mirror.News
	for _, kind := range in.GetKinds() {
		n := mirror.News{Kind: kind.GetKind(), At: kind.GetAt(), Away: kind.GetAway()}
		for _, c := range kind.GetChanges() {
			n.Changes = append(n.Changes, object.Change{
				Entry:   object.Entry{Name: c.GetName(), Revision: c.GetRevision(), Spec: c.GetSpec()},
				Removed: c.GetRemoved(),
			})
		}
		news = append(news, n)
	}
	return news
}

func encodePage(page batch.Page) *wirepb.BatchPage {
	out := &wirepb.BatchPage{Kept: true, Total: int64(page.Total), Next: int64(page.Next)}
	for _, r := range page.Results {
		result := &wirepb.BatchResult{Item: r.Item, Failed: r.Failed, Text: []byte(r.Text)}
		for _, v := range r.Versions {
			result.Versions = append(result.Versions, int64(v))
		}
		out.Results = append(out.Results, result)
	}
	return out
}

func decodePage(in *wirepb.BatchPage) batch.Page {
	page := batch.Page{Total: int(in.GetTotal()), Next: int(in.GetNext())}
	for _, r := range in.GetResults() {
		result := batch.Result{Item: r.GetItem(), Failed: r.GetFailed(), Text: string(r.GetText())}
		for _, v := range r.GetVersions() {
			result.Versions = append(result.Versions, int(v))
		}
		page.Results = append(page.Results, result)
	}
	return page
}

func encodeRests(rests []batch.Rest) *wirepb.BatchRests {
	out := &wirepb.BatchRests{}
	for _, r := range rests {
		rest := &wirepb.BatchRest{Item: r.Item, From: int64(r.From), Last: int64(r.Last), Whole: r.Whole}
		for _, text := range r.Texts {
			rest.Texts = append(rest.Texts, []byte(text))
		}
		for _, v := range r.Versions {
			rest.Versions = append(rest.Versions, int64(v))
		}
		out.Rests = append(out.Rests, rest)
	}
	return out
}

func decodeRests(in *wirepb.BatchRests) []batch.Rest {
	var rests []batch.Rest
	for _, r := range in.GetRests() {
		rest := batch.Rest{Item: r.GetItem(), From: int(r.GetFrom()), Last: int(r.GetLast()), Whole: r.GetWhole()}
		for _, text := range r.GetTexts() {
			rest.Texts = append(rest.Texts, string(text))
		}
		for _, v := range r.GetVersions() {
			rest.Versions = append(rest.Versions, int(v))
		}
		rests = append(rests, rest)
	}
	return rests
}

func encodeNotice(n batch.Notice) *wirepb.BatchNotice {
	return &wirepb.BatchNotice{
		Id: n.Head.ID, Host: n.Head.Host, Path: n.Head.Path, Model: n.Head.Model, Step: int64(n.Head.Step),
		Items: int64(n.Head.Items), Keeper: n.Head.Keeper, Incarnation: n.Head.Incarnation,
		AcceptedMs: n.Head.AcceptedMs, Parts: int64(n.Head.Parts), Tokens: int64(n.Head.Tokens), Ended: n.Ended, Handed: n.Handed, Taken: n.Taken,
	}
}

func decodeNotice(n *wirepb.BatchNotice) batch.Notice {
	return batch.Notice{
		Head: batch.Head{
			ID: n.GetId(), Host: n.GetHost(), Path: n.GetPath(), Model: n.GetModel(), Step: int(n.GetStep()),
			Items: int(n.GetItems()), Keeper: n.GetKeeper(), Incarnation: n.GetIncarnation(),
			AcceptedMs: n.GetAcceptedMs(), Parts: int(n.GetParts()), Tokens: int(n.GetTokens()),
		},
		Ended: n.GetEnded(), Handed: n.GetHanded(), Taken: n.GetTaken(),
	}
}

func encodeSuspects(list []poison.Suspicion) []*wirepb.Suspect {
	var out []*wirepb.Suspect
	for _, s := range list {
		out = append(out, &wirepb.Suspect{
			Fingerprint: s.Fingerprint, Crashes: uint32(s.Crashes), RemainingMs: s.Left.Milliseconds(),
		})
	}
	return out
}

func decodeSuspects(in []*wirepb.Suspect) []poison.Suspicion {
	var list []poison.Suspicion
	for _, s := range in {
		list = append(list, poison.Suspicion{
			Fingerprint: s.GetFingerprint(), Crashes: int(s.GetCrashes()),
			Left: time.Duration(s.GetRemainingMs()) * time.Millisecond,
		})
	}
	return list
}
