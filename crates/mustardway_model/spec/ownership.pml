/*
 * Ownership of one target, and one request that may run at most once.
 *
 * There are three instances, and instance 0 is the first owner of the target. Each
 * copy of the request is a process. The network delivers a copy to any instance at
 * any time, so copies may be lost, duplicated, late and out of order. The last copy
 * is a retry.
 *
 * Faults, bounded by CRASHES, FREEZES and CUTS: an instance crashes; an instance is
 * paused and later continues where it stopped; two instances cannot hear each other.
 *
 * Rules that the properties depend on:
 * - An instance records the request before it forwards it. An owner that receives
 *   the request directly from the caller has another instance, the witness, record
 *   it first.
 * - A successor takes over when it has not heard the owner for a whole lease and
 *   another instance agrees. The agreeing instance does not hear the owner either,
 *   announces the requests that it has recorded, and follows the successor from then
 *   on.
 * - If no other instance can agree, the successor's memory is partial, and it refuses
 *   every request that may run at most once.
 * - Ownership is numbered. No instance returns to an owner with a lower number.
 * - After a pause an instance is fenced until a peer answers a question that was
 *   asked after the pause. A peer that agreed to a successor does not answer, and a
 *   peer that was about to take over gives up.
 * - An owner that stops as planned hands its table over before another owner admits.
 * - A retry runs only at an owner whose memory covers the whole time since the first
 *   copy was sent.
 *
 * Assumptions: the lease is longer than the clock gap by which an instance detects
 * that it was paused; a takeover starts only when the owner was not heard for a whole
 * lease. Nothing is assumed about the lifetime of copies. Liveness is not covered,
 * and neither are more simultaneous faults than the bounds allow.
 *
 * An answer "not run" makes a claim only about the copy that it answers.
 */

#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef FREEZES
#define FREEZES 1
#endif
#ifndef CUTS
#define CUTS 0
#endif
#ifndef HANDOVERS
#define HANDOVERS 1
#endif
#ifndef RETRIES
#define RETRIES 1
#endif

#define N 3
#define NOBODY 3

/* States of an instance. */
#define LIVE 0
#define FROZEN 1
#define DEAD 2

byte state[N] = LIVE;
/* The instance was paused and no peer has answered it since. */
bool fenced[N];
/* The instance that each instance regards as the owner. */
byte owner[N];
/* Number of that ownership. A later owner has a greater number. */
byte term[N];
/* The instance admits requests as the owner. */
bool serves[N];
/* The instance knows of every request admitted since before the first copy was sent. */
bool continuous[N];
/* The instance took over without the agreement of another one. */
bool partial[N];
/* The instance may have forwarded, witnessed or admitted the request. */
bool knows[N];
/* The request counts as admitted at this owner: by itself, by announcement or by handover. */
bool admitted[N];
/* The other two instances cannot hear each other. */
bool cut[N];
bool ever_cut;
/* The owner that an instance is taking over from, and whether another instance agreed. */
byte taking[N] = NOBODY;
bool agreed[N];
/* The instance stops as planned: it admits nothing and hands its table over. */
bool stopping[N];

byte runs;

#define apart(a, b) (cut[N - (a) - (b)])
#define hears(a, b) (state[b] == LIVE && state[a] == LIVE && !apart(a, b))

/* Whether an instance would admit a request now. */
#define admits(who) (serves[who] && state[who] == LIVE && !fenced[who])

/* Answers "not run" for a copy, which is true only if ran is false. */
inline not_run() {
	assert(!ran);
	goto done
}

proctype Copy(bool retry)
{
	byte ingress, at, witness;
	bool ran = false;

	/* Network: any instance may receive the copy at any time, or the copy is lost. */
	atomic {
		if
		:: state[0] == LIVE -> ingress = 0
		:: state[1] == LIVE -> ingress = 1
		:: state[2] == LIVE -> ingress = 2
		:: goto done
		fi;
		if
		:: fenced[ingress] -> not_run()
		:: else
		fi;
		at = owner[ingress];
		if
		:: at != ingress -> knows[ingress] = true
		:: else
		fi
	};

	if
	:: at != ingress ->
		/* Forwarding: the owner receives the copy, or the link breaks. */
		atomic {
			if
			:: state[at] == LIVE && !apart(ingress, at) ->
				if
				:: fenced[at] || !serves[at] -> not_run()
				:: else
				fi
			:: state[at] == DEAD || apart(ingress, at) -> goto done
			:: state[ingress] == DEAD -> goto done
			fi
		}
	:: at == ingress ->
		/* The owner received the copy itself: a witness must record the request first. */
#ifndef BROKEN_NO_WITNESS
		atomic {
			if
			:: state[at] == DEAD -> goto done
			:: state[at] == LIVE -> witness = (at + 1) % N
			:: state[at] == LIVE -> witness = (at + 2) % N
			fi;
			if
			:: !hears(at, witness) || owner[witness] != at || fenced[witness] -> not_run()
			:: else -> knows[witness] = true
			fi;
			witness = 0
		}
#else
		skip
#endif
	fi;

	/* Admission, checked against the owner's clock and view at this moment. */
	atomic {
		if
		:: state[at] == DEAD -> goto done
		:: state[at] == LIVE
		fi;
		if
		:: fenced[at] || !serves[at] -> not_run()
		:: else
		fi;
		/* Only one owner admits at a time, unless two instances could not hear each other. */
		assert(ever_cut || !admits((at + 1) % N));
		assert(ever_cut || !admits((at + 2) % N));
		if
		:: admitted[at] -> goto done
		:: else
		fi;
#ifndef BROKEN_PARTIAL
		if
		:: partial[at] -> not_run()
		:: else
		fi;
#endif
		if
		:: retry && !continuous[at] -> goto done
		:: else
		fi;
		admitted[at] = true;
		knows[at] = true
	};

	/* Sending to the target. The owner may have been paused since the admission. */
	atomic {
		if
		:: state[at] == DEAD -> goto done
		:: state[at] == LIVE
		fi;
		ran = true;
		runs++;
#ifdef REACH_SUCCESSOR
		/* Fails if a request can run after a takeover. */
		assert(at == 0);
#endif
		assert(runs <= 1)
	};

	/* The answer is delivered, or the link breaks first. */
	if
	:: state[at] != LIVE || (at != ingress && apart(at, ingress)) ->
#ifdef BROKEN_NOT_RUN
		not_run()
#else
		goto done /* outcome unknown */
#endif
	:: true
	fi;
done:
	atomic {
		ingress = 0;
		at = 0;
		witness = 0;
		ran = false
	}
}

/* The follower adopts the owner and the ownership number of another instance. */
inline follow(follower, named) {
	owner[follower] = owner[named];
	term[follower] = term[named];
	serves[follower] = false;
	stopping[follower] = false;
	continuous[follower] = false
}

/*
 * Takeover by one instance. Instance 2 starts only if it does not hear instance 1, or
 * if instance 1 is the lost owner. Once another instance has announced its records
 * and follows, the takeover is no longer abandoned because the owner is heard again.
 */
proctype Successor(byte me)
{
	byte other;

	do
	:: atomic {
		(taking[me] == NOBODY && state[me] == LIVE && !fenced[me]
			&& owner[me] != me && !hears(me, owner[me])
			&& (me == 1 || owner[me] == 1 || !hears(me, 1))) ->
			taking[me] = owner[me];
			other = N - me - taking[me];
			agreed[me] = false
	   }
	:: atomic {
		/*
		 * The instance gives up: it knows a later owner, is fenced, or hears the owner
		 * again before another instance agrees.
		 */
		(taking[me] != NOBODY && state[me] == LIVE
			&& (owner[me] != taking[me] || fenced[me]
				|| (!agreed[me] && hears(me, taking[me])))) ->
			taking[me] = NOBODY
	   }
	:: atomic {
		/* The other instance announces its records and follows. */
		(taking[me] != NOBODY && owner[me] == taking[me] && !fenced[me]
			&& hears(me, other) && !fenced[other] && !agreed[me]
#ifndef BROKEN_HASTY
			&& !hears(other, taking[me])
#endif
		) ->
			if
			:: serves[other] -> follow(me, other); taking[me] = NOBODY
			:: !serves[other] && (term[other] > term[me] || taking[other] != NOBODY) ->
				taking[me] = NOBODY
			:: else ->
#ifndef BROKEN_NO_ANNOUNCE
				admitted[me] = admitted[me] || knows[other];
#endif
				follow(other, me);
				owner[other] = me;
				term[other] = term[me] + 1;
				agreed[me] = true
			fi
	   }
	:: atomic {
		/* The lease has expired: the instance becomes the owner. */
		(taking[me] != NOBODY && owner[me] == taking[me] && state[me] == LIVE && !fenced[me]
			&& (agreed[me] || (!hears(me, taking[me]) && !hears(me, other)))) ->
			partial[me] = !agreed[me];
			admitted[me] = admitted[me] || knows[me];
			continuous[me] = false;
			owner[me] = me;
			term[me]++;
			serves[me] = true;
			taking[me] = NOBODY
	   }
	:: state[me] == DEAD -> break
	od
}

/* Crashes, pauses, cuts, resumption after a pause, heartbeats and the planned handover. */
proctype World()
{
	byte crashes = CRASHES, freezes = FREEZES, cuts = CUTS, handovers = HANDOVERS;
	byte who, other;

	do
	:: atomic {
		select(who : 0 .. 2);
		select(other : 0 .. 2);
		if
		:: crashes > 0 && state[who] != DEAD ->
			crashes--;
			state[who] = DEAD
		:: freezes > 0 && state[who] == LIVE ->
			freezes--;
			state[who] = FROZEN
		:: state[who] == FROZEN ->
			/* The instance resumes and detects the pause by a gap in its clock. */
			state[who] = LIVE;
#ifndef BROKEN_NO_FENCE
			fenced[who] = true
#endif
		:: cuts > 0 && !cut[who] ->
			cuts--;
			cut[who] = true;
			ever_cut = true
		:: cut[who] -> cut[who] = false
		:: fenced[who] && state[who] == LIVE ->
#ifdef BROKEN_OLD_FRAME
			/* A frame sent before the pause is accepted as an answer. */
			fenced[who] = false
#else
			/* A peer answers a question that was asked after the pause. */
			if
			:: (other != who && hears(who, other) && !fenced[other]
				&& !(taking[other] == who && agreed[other])) ->
				if
				:: taking[other] == who -> taking[other] = NOBODY
				:: else
				fi;
				if
				:: term[other] > term[who] -> follow(who, other)
				:: else
				fi;
				fenced[who] = false
			:: else
			fi
#endif
		:: handovers > 0 && serves[who] && !partial[who] && state[who] == LIVE && !fenced[who] ->
			/* A planned stop begins: the owner admits nothing from here on. */
			handovers--;
			stopping[who] = true;
			serves[who] = false
		:: (stopping[who] && state[who] == LIVE && !fenced[who] && owner[who] == who
			&& other != who && hears(who, other) && !fenced[other]
			&& term[other] <= term[who] && taking[other] == NOBODY) ->
			/* The table arrives at the new owner. */
			stopping[who] = false;
#ifndef BROKEN_NO_TABLE
			admitted[other] = admitted[other] || admitted[who] || knows[who];
#endif
			continuous[other] = continuous[who];
			owner[other] = other;
			term[other] = term[who] + 1;
			serves[other] = true;
			follow(who, other)
		:: (other != who && hears(who, other)
#ifdef BROKEN_NO_NUMBER
				&& owner[other] != owner[who] && !serves[who]
#else
				&& term[other] > term[who]
#endif
			) ->
			/* A heartbeat names a later owner. */
			follow(who, other)
		:: else
		fi;
		who = 0;
		other = 0
	   }
	:: break
	od
}

init {
	atomic {
		serves[0] = true;
		continuous[0] = true;
		/* Instance 2 may have a stale list of instances and so regard instance 1 as the owner. */
		if
		:: owner[2] = 0
		:: owner[2] = 1
		fi;
		run Copy(false);
		run Copy(false);
#if RETRIES
		run Copy(true);
#endif
		run Successor(1);
		run Successor(2);
		run World()
	}
}
