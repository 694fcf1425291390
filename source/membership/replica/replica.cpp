#include "membership/replica/replica.hpp"

#include "membership/replica/apply_changes.hpp"

namespace finchlink::membership {

ListUpdate list_update(schema::NewsAnswer const& answer) {
  return ListUpdate{answer.list_same, answer.list_from, answer.list, answer.list_gone, answer.list_digest};
}
ListUpdate list_update(schema::Told const& reply) {
  return ListUpdate{reply.list_same, reply.list_from, reply.list, reply.list_gone, reply.list_digest};
}

bool ListReplica::take(ListUpdate const& update, common::Span age, common::Moment sent_at) {
  common::Moment const as_of = sent_at - age;
  if (age < 0 || as_of <= as_of_) {
    return false;
  }
  if (update.same) {
    as_of_ = update.digest == digest_ ? as_of : as_of_;
    return false;
  }
  if (update.from == 0) {
    list_ = update.list;
  } else if (update.from != digest_) {
    return false;  // another answer was applied first: the next request names the list held now
  } else {
    std::optional<schema::PlatformList> next = apply_update(list_, as_of - as_of_, update);
    if (!next.has_value()) {
      digest_ = 0;
      return false;
    }
    list_ = std::move(*next);
  }
  digest_ = update.digest;
  as_of_ = as_of;
  return true;
}

void ListReplica::put(schema::PlatformList const& list, common::Moment as_of) {
  list_ = list;
  digest_ = 0;
  as_of_ = as_of;
}

bool MemberReplica::take(schema::NewsAnswer const& answer) {
  if (!answer.confirmed || answer.members_same) {
    return false;
  }
  if (answer.members_from == 0) {
    members_ = answer.members;
  } else if (answer.members_from != digest_) {
    return false;
  } else {
    std::vector<schema::Member> next =
        apply_changes(members_, answer.members, answer.members_gone, &schema::Member::name);
    if (digest_of(next) != answer.members_digest) {
      digest_ = 0;
      return false;
    }
    members_ = std::move(next);
  }
  digest_ = answer.members_digest;
  return true;
}

}  // namespace finchlink::membership
