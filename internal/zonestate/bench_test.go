package zonestate

import (
	"testing"
	"time"
)

func BenchmarkReceiveRow(b *testing.B) {
	var all []Peer
	for i := range 300 {
		all = append(all, testPeer(i, i%6))
	}
	m := newTestMachine(b, 0, all...)
	row := Row{ZoneID: testPeer(1, 1).ZoneID, PartCount: 50}
	for i := range 10 {
		row.Entries = append(row.Entries, Entry{Demand, Subject(i), 1})
	}
	for i := range 300 {
		m.links[uint64(i)+1] = &link{}
	}
	row.Author.ID = m.view.trees[row.ZoneID][0][0].ID
	now := time.Second
	for b.Loop() {
		now += ms
		row.Seq++
		m.Receive(now, Message{Kind: RowUpdate, From: row.Author.ID, Echo: m.token(now), Rows: []Row{row}})
	}
}

func BenchmarkNewView(b *testing.B) {
	var all []Peer
	for i := range 300 {
		all = append(all, testPeer(i, i%6))
	}
	for b.Loop() {
		NewView(all)
	}
}
