// Package origins remembers at which software version streams began. What replicas of two versions generate cannot be
// joined to one stream, but the caller of a stream that broke off may take it up through any entry host.
//
// A Table holds records of streams. A record is needed only while replicas of several versions serve, so a History
// keeps which versions a service has run lately: as long as there was only one, it is that of all streams. Package
// originsync shares the records between entry hosts.
package origins
