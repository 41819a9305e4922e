package election

// outbox collects the commands of the call in progress, in the order in which they must be carried out. [Replica] empties it
// at the beginning of each call.
type outbox struct {
	self     int // ID of the replica that sends
	commands []Command
}

// reset drops the commands of the previous call. It reuses their memory, which is why commands are valid only until the next call.
func (o *outbox) reset() { o.commands = o.commands[:0] }

func (o *outbox) add(command Command) { o.commands = append(o.commands, command) }

// addFirst adds a command that must be carried out before the other commands of the call.
func (o *outbox) addFirst(command Command) {
	o.commands = append([]Command{command}, o.commands...)
}

func (o *outbox) send(to int, m Message) { o.add(SendMessage{To: to, Message: m}) }

// broadcast sends a message to all members except this replica.
func (o *outbox) broadcast(members Members, m Message) {
	for i := range MaxReplicas {
		if i != o.self && members.Contains(i) {
			o.send(i, m)
		}
	}
}
