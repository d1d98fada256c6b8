// Package kqreplica is the consensus reducer of the control hosts: leader
// election with pre-vote and check-quorum, log replication, reads confirmed by
// a quorum, snapshots, and membership changes of one host at a time.
//
// A vote or acknowledgement counts only from the data folder (incarnation)
// that the member list names, and only from the newest start (run) of it that
// was seen. A host that lost its folder, or came back with an older copy, is
// therefore nobody until the leader has made it a non-voter, has brought it up
// to date and has made it a voter again.
package kqreplica
