// Package configuration keeps the accepted configuration in the platform's object API and brings
// it into force on every entry host.
//
// The object config/head is the commit point: it holds the generation, the key and version of each
// shard, and the ids of recent edits. An edit writes its shards under fresh keys and then swings
// the head by one conditional update, so a shard without its head has no effect. An Editor makes
// edits; a Follower decides, without I/O, what an entry host reads and when; a Runner carries
// that out and publishes snapshots.
package configuration
