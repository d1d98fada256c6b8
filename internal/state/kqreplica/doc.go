// Package kqreplica implements the consensus protocol of the control hosts as a
// reducer, which turns events into effects without doing I/O itself. It covers
// leader election with pre-vote and check-quorum, log replication, reads
// confirmed by a quorum, snapshots, and membership changes of one host at a time.
//
// A data folder is identified by its incarnation, and each start of a process on
// it by a run. A vote or acknowledgement counts only if it comes from the
// incarnation in the member list and from the newest run seen of it. A host that
// lost its data folder, or came back with an older copy, therefore counts for no
// quorum until the leader has made it a non-voter, brought it up to date and
// promoted it to voter again.
package kqreplica
