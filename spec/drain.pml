/*
 * Planned stop of one instance with two senders: work and announcements spend at most FLIGHT
 * ticks in the network, running work takes at most WORK ticks, heartbeats may be reordered, a
 * second stop request may arrive at any moment, and the instance restarts with a new incarnation.
 *
 * Mirrors Instance and Peers of share/decide/drain. A sender learns from a heartbeat or from a
 * refusal, whichever arrives first, that the instance is leaving. The list of instances, which
 * lags, is a third source; it is left out because it adds nothing here.
 *
 * Properties: no running work is cut off while WORK <= GRACE. All work that was sent is run or
 * refused and never arrives at a stopped process. No new work arrives later than 2 * FLIGHT after
 * the announcement. A sender that knows that an incarnation is leaving never reverts this.
 */
#define FLIGHT 1
#define WORK 4
#define GRACE 5
#ifdef MUTANT_SHORT_LINGER
#define LINGER 2 /* a round trip: the last work may arrive in the same tick */
#else
#define LINGER 3
#endif

#define SERVING 0
#define DRAINING 1
#define STOPPED 2

byte state = SERVING;
byte incarnation = 1;
byte drainTicks; /* ticks since the announcement, GRACE at most */

bool offered[2];    /* work in transit from each sender */
byte offeredFor[2]; /* the incarnation it was sent to */
byte offeredAge[2];
bool working[2];
byte workingAge[2];

bool announcement[2]; /* announcement in transit to each sender */
byte announcementAge[2];
byte announcementOf[2];
bool heartbeat[2];    /* a heartbeat in transit, sent before the announcement: not leaving */
byte heartbeatOf[2];
bool refusal[2];
byte refusalOf[2];

byte knownIncarnation[2] = 1; /* the latest incarnation that each sender knows */
bool leaving[2];
bool leavingReported[2];      /* the sender received that this incarnation is leaving */

#define IDLE (!working[0] && !working[1])

inline addTick(x) {
	if
	:: x < GRACE -> x++
	:: else
	fi
}

/* time advances only while nothing is overdue */
#define ONTIME(s) ((!offered[s] || offeredAge[s] < FLIGHT) && (!announcement[s] || announcementAge[s] < FLIGHT) && (!working[s] || workingAge[s] < WORK))
#ifdef MUTANT_NO_LINGER
#define STOP_DUE ((IDLE) || drainTicks >= GRACE)
#else
#define STOP_DUE ((IDLE && drainTicks >= LINGER) || drainTicks >= GRACE)
#endif

active proctype Clock() {
end:
	do
	:: d_step { ONTIME(0) && ONTIME(1) && !(state == DRAINING && STOP_DUE) ->
		if
		:: offered[0] -> addTick(offeredAge[0])
		:: else
		fi;
		if
		:: offered[1] -> addTick(offeredAge[1])
		:: else
		fi;
		if
		:: announcement[0] -> addTick(announcementAge[0])
		:: else
		fi;
		if
		:: announcement[1] -> addTick(announcementAge[1])
		:: else
		fi;
		if
		:: working[0] -> addTick(workingAge[0])
		:: else
		fi;
		if
		:: working[1] -> addTick(workingAge[1])
		:: else
		fi;
		if
		:: state == DRAINING -> addTick(drainTicks)
		:: else
		fi
	   }
	od
}

inline announce(s) {
	announcement[s] = true;
	announcementAge[s] = 0;
	announcementOf[s] = incarnation
}

inline arrive(s) {
	offered[s] = false;
	offeredAge[s] = 0;
	if
	:: offeredFor[s] == incarnation ->
		assert(state != STOPPED);
		assert(state != DRAINING || drainTicks <= 2 * FLIGHT);
		if
#ifdef MUTANT_ADMITS_WHILE_DRAINING
		:: true -> working[s] = true; workingAge[s] = 0
#else
		:: state == SERVING -> working[s] = true; workingAge[s] = 0
		:: state != SERVING -> refusal[s] = true; refusalOf[s] = incarnation
#endif
		fi
	:: else /* for another incarnation: refused as not run */
	fi;
	offeredFor[s] = 0
}

inline stop() {
	assert(IDLE);
	state = STOPPED
}

active proctype Instance() {
	byte stops, restarts;

end:
	do
	:: atomic { offered[0] -> arrive(0) }
	:: atomic { offered[1] -> arrive(1) }
	:: atomic { working[0] -> working[0] = false; workingAge[0] = 0 }
	:: atomic { working[1] -> working[1] = false; workingAge[1] = 0 }
	:: atomic { state == SERVING && !heartbeat[0] -> heartbeat[0] = true; heartbeatOf[0] = incarnation }
	:: atomic { state == SERVING && !heartbeat[1] -> heartbeat[1] = true; heartbeatOf[1] = incarnation }
	:: atomic { stops < 2 && state != STOPPED ->
		stops++;
		if
		:: state == SERVING ->
			state = DRAINING;
			drainTicks = 0;
			announce(0);
			announce(1)
		:: state == DRAINING ->
#ifdef MUTANT_SECOND_STOP_CUTS
			stop()
#else
			skip
#endif
		fi
	   }
#ifdef MUTANT_NO_WAIT_FOR_WORK
	:: atomic { state == DRAINING && drainTicks >= LINGER -> stop() }
#else
	:: atomic { state == DRAINING && STOP_DUE -> stop() }
#endif
	:: atomic { state == STOPPED && restarts < 1 ->
		restarts++;
		state = SERVING;
		drainTicks = 0;
		incarnation++
	   }
	od
}

/* observe handles the instance's own report on incarnation i; l: it is leaving */
inline observe(s, i, l) {
	if
	:: i < knownIncarnation[s] -> skip /* an earlier incarnation: ignored */
	:: i == knownIncarnation[s] ->
#ifdef MUTANT_TAKES_BACK
		leaving[s] = l
#else
		leaving[s] = leaving[s] || l
#endif
	:: i > knownIncarnation[s] -> knownIncarnation[s] = i; leaving[s] = l; leavingReported[s] = false
	fi;
	leavingReported[s] = leavingReported[s] || (l && i == knownIncarnation[s])
}

proctype Sender(byte s) {
end:
	do
	:: atomic { !offered[s] && !working[s] && !leaving[s] && (state != STOPPED || knownIncarnation[s] != incarnation) ->
		assert(!leavingReported[s]);
		offered[s] = true;
		offeredFor[s] = knownIncarnation[s]
	   }
	:: atomic { announcement[s] -> announcement[s] = false; announcementAge[s] = 0; observe(s, announcementOf[s], true); announcementOf[s] = 0 }
	:: atomic { heartbeat[s] -> heartbeat[s] = false; observe(s, heartbeatOf[s], false); heartbeatOf[s] = 0 }
	:: atomic { refusal[s] -> refusal[s] = false; observe(s, refusalOf[s], true); refusalOf[s] = 0 }
	od
}

init {
	atomic {
		run Sender(0);
		run Sender(1)
	}
}
