//! The parser of the operators' language: read-only queries, and commands.

use std::fmt;

use serde::{Deserialize, Serialize};
use winnow::ascii::{digit1, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{rest, take_while};

/// The table that a query reads.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Table {
    /// Waiting and running requests.
    Requests,
    /// Waiting requests.
    Waiting,
    /// Running requests.
    Running,
    /// Counts of refusals.
    Refused,
    /// Counts of answers by tier.
    Tiers,
    /// Upstreams.
    Upstreams,
    /// Entry instances.
    Members,
    /// The configuration.
    Config,
    /// The timeline.
    Timeline,
}

/// The instances that a query covers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// The instance that received the query.
    Instance,
    /// All known instances of its zone.
    Zone,
    /// All known instances.
    #[default]
    All,
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// Equal.
    Is,
    /// Not equal.
    IsNot,
    /// Greater, as a number.
    Above,
    /// Less, as a number.
    Below,
}

/// A condition on a field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Filter {
    /// The field.
    pub field: String,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value that the field is compared with.
    pub value: String,
}

/// A sort order by a field.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The field.
    pub field: String,
    /// Whether the greatest value comes first.
    pub descending: bool,
}

/// A read-only query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// The table that it reads.
    pub table: Table,
    /// Whether it returns only the number of rows.
    pub count: bool,
    /// The conditions, all of which a row must meet.
    pub filters: Vec<Filter>,
    /// The order of the rows.
    pub order: Option<Order>,
    /// The maximum number of rows.
    pub limit: Option<usize>,
    /// The instances that it covers.
    pub scope: Scope,
}

/// Something that can be drained.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// An entry instance.
    Instance,
    /// An upstream.
    Upstream,
}

/// A kind of entry in the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Entry {
    /// A tier, by its identifier.
    Tier,
    /// A team, by its identifier.
    Team,
    /// A rule, by its path prefix.
    Rule,
    /// An upstream, by its identifier.
    Upstream,
}

impl Entry {
    /// The section of the configuration that holds the entries, and the field
    /// that identifies an entry.
    pub fn section_and_key(self) -> (&'static str, &'static str) {
        match self {
            Entry::Tier => ("tiers", "id"),
            Entry::Team => ("teams", "id"),
            Entry::Rule => ("rules", "path_prefix"),
            Entry::Upstream => ("upstreams", "id"),
        }
    }
}

/// A change of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Sets one field of an entry.
    Set {
        /// The kind of entry.
        entry: Entry,
        /// Its identifier.
        id: String,
        /// The field.
        field: String,
        /// Its new value, as JSON or as a string without quotes.
        value: String,
    },
    /// Adds an entry, as JSON.
    Add {
        /// The kind of entry.
        entry: Entry,
        /// The entry.
        json: String,
    },
    /// Removes an entry.
    Remove {
        /// The kind of entry.
        entry: Entry,
        /// Its identifier.
        id: String,
    },
}

/// A command that changes the state or the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Takes something out of service, or back in.
    Drain {
        /// Whether it is an instance or an upstream.
        target: Target,
        /// Its identifier.
        id: String,
        /// Whether it is taken out of service.
        out: bool,
    },
    /// Resolves a key whose request has an unknown outcome.
    Resolve {
        /// The team that the key belongs to.
        team: String,
        /// The key.
        key: String,
        /// Whether the operator confirmed that the request ran.
        ran: bool,
    },
    /// Changes the configuration.
    Change {
        /// The change.
        change: Change,
        /// Whether to show the difference without applying the change.
        dry_run: bool,
        /// The version that the configuration must have, if the operator named one.
        version: Option<u64>,
    },
}

/// A syntax error in a sentence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// The sentence.
    pub sentence: String,
    /// The column of the first unexpected character, from 1.
    pub column: usize,
    /// A description of what was expected.
    pub expected: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "The sentence is not understood at column {}:", self.column)?;
        writeln!(f, "  {}", self.sentence)?;
        writeln!(f, "  {:>width$}", "^", width = self.column)?;
        write!(f, "{}.", self.expected)
    }
}

impl std::error::Error for Error {}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn whole_word<'a>(
    text: &'static str,
) -> impl Parser<&'a str, &'a str, winnow::error::ContextError> {
    terminated(text, winnow::combinator::not(take_while(1, |c: char| c.is_ascii_alphanumeric())))
}

fn name(input: &mut &str) -> ModalResult<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    let bare = take_while(1.., is_name_char).map(str::to_owned);
    let quoted = delimited('"', take_while(0.., |c| c != '"'), '"').map(str::to_owned);
    alt((quoted, bare)).context(expected("a name")).parse_next(input)
}

fn keyword(text: &'static str) -> impl FnMut(&mut &str) -> ModalResult<()> {
    move |input| {
        let mut parser = whole_word(text).void();
        parser.parse_next(input).map_err(winnow::error::ErrMode::Backtrack)
    }
}

fn table(input: &mut &str) -> ModalResult<Table> {
    alt((
        keyword("requests").value(Table::Requests),
        keyword("waiting").value(Table::Waiting),
        keyword("running").value(Table::Running),
        keyword("refused").value(Table::Refused),
        keyword("tiers").value(Table::Tiers),
        keyword("upstreams").value(Table::Upstreams),
        keyword("members").value(Table::Members),
        keyword("config").value(Table::Config),
        keyword("timeline").value(Table::Timeline),
    ))
    .context(expected(
        "requests, waiting, running, refused, tiers, upstreams, members, config or timeline",
    ))
    .parse_next(input)
}

fn comparison(input: &mut &str) -> ModalResult<Comparison> {
    alt((
        "!=".value(Comparison::IsNot),
        "=".value(Comparison::Is),
        ">".value(Comparison::Above),
        "<".value(Comparison::Below),
    ))
    .context(expected("=, !=, > or <"))
    .parse_next(input)
}

fn filter(input: &mut &str) -> ModalResult<Filter> {
    let parts = (name, multispace0, cut_err(comparison), multispace0, cut_err(name));
    parts
        .map(|(field, _, comparison, _, value)| Filter { field, comparison, value })
        .parse_next(input)
}

fn filters(input: &mut &str) -> ModalResult<Vec<Filter>> {
    let separator = (multispace1, keyword("and"), multispace1);
    let list = separated(1.., filter, separator);
    preceded((multispace1, keyword("where"), multispace1), cut_err(list)).parse_next(input)
}

fn order(input: &mut &str) -> ModalResult<Order> {
    let prefix = (multispace1, keyword("order"), multispace1, keyword("by"), multispace1);
    let descending = opt((multispace1, keyword("desc"))).map(|desc| desc.is_some());
    let (field, descending) = preceded(prefix, cut_err((name, descending))).parse_next(input)?;
    Ok(Order { field, descending })
}

fn number<T: std::str::FromStr>(input: &mut &str) -> ModalResult<T> {
    digit1.parse_to().context(expected("a whole number")).parse_next(input)
}

fn limit(input: &mut &str) -> ModalResult<usize> {
    preceded((multispace1, keyword("limit"), multispace1), cut_err(number)).parse_next(input)
}

fn scope(input: &mut &str) -> ModalResult<Scope> {
    let which = alt((
        keyword("instance").value(Scope::Instance),
        keyword("zone").value(Scope::Zone),
        keyword("all").value(Scope::All),
    ))
    .context(expected("instance, zone or all"));
    preceded((multispace1, keyword("over"), multispace1), cut_err(which)).parse_next(input)
}

fn query(input: &mut &str) -> ModalResult<Query> {
    let verb = alt((keyword("show").value(false), keyword("count").value(true)));
    let count = verb.context(expected("show or count")).parse_next(input)?;
    let table = cut_err(preceded(multispace1, table)).parse_next(input)?;
    let filters = opt(filters).parse_next(input)?.unwrap_or_default();
    let order = opt(order).parse_next(input)?;
    let limit = opt(limit).parse_next(input)?;
    let scope = opt(scope).parse_next(input)?.unwrap_or_default();
    Ok(Query { table, count, filters, order, limit, scope })
}

fn target(input: &mut &str) -> ModalResult<Target> {
    alt((keyword("instance").value(Target::Instance), keyword("upstream").value(Target::Upstream)))
        .context(expected("instance or upstream"))
        .parse_next(input)
}

fn entry(input: &mut &str) -> ModalResult<Entry> {
    alt((
        keyword("tier").value(Entry::Tier),
        keyword("team").value(Entry::Team),
        keyword("rule").value(Entry::Rule),
        keyword("upstream").value(Entry::Upstream),
    ))
    .context(expected("tier, team, rule or upstream"))
    .parse_next(input)
}

fn drain(input: &mut &str) -> ModalResult<Command> {
    let mut out = alt((keyword("drain").value(true), keyword("undrain").value(false)));
    let out = out.parse_next(input)?;
    let target = cut_err(preceded(multispace1, target)).parse_next(input)?;
    let id = cut_err(preceded(multispace1, name)).parse_next(input)?;
    Ok(Command::Drain { target, id, out })
}

fn set(input: &mut &str) -> ModalResult<Change> {
    keyword("set").parse_next(input)?;
    let entry = cut_err(preceded(multispace1, entry)).parse_next(input)?;
    let id = cut_err(preceded(multispace1, name)).parse_next(input)?;
    let field = cut_err(preceded(multispace1, name)).parse_next(input)?;
    let value = cut_err(preceded(multispace1, name)).parse_next(input)?;
    Ok(Change::Set { entry, id, field, value })
}

fn remove(input: &mut &str) -> ModalResult<Change> {
    keyword("remove").parse_next(input)?;
    let entry = cut_err(preceded(multispace1, entry)).parse_next(input)?;
    let id = cut_err(preceded(multispace1, name)).parse_next(input)?;
    Ok(Change::Remove { entry, id })
}

fn add(input: &mut &str) -> ModalResult<Change> {
    keyword("add").parse_next(input)?;
    let entry = cut_err(preceded(multispace1, entry)).parse_next(input)?;
    let json = cut_err(preceded(multispace1, rest)).parse_next(input)?;
    Ok(Change::Add { entry, json: json.trim().to_owned() })
}

/// Parses a change with its options: `[dry run] [if version N] set …`.
fn change(input: &mut &str) -> ModalResult<Command> {
    let dry = (keyword("dry"), multispace1, keyword("run"), multispace1);
    let dry_run = opt(dry).parse_next(input)?.is_some();
    let prefix = (keyword("if"), multispace1, keyword("version"), multispace1);
    let version = opt(delimited(prefix, cut_err(number), multispace1)).parse_next(input)?;
    let change = alt((set, remove, add))
        .context(expected("drain, undrain, resolve, set, add or remove"))
        .parse_next(input)?;
    Ok(Command::Change { change, dry_run, version })
}

fn resolve(input: &mut &str) -> ModalResult<Command> {
    (keyword("resolve"), multispace1, keyword("key")).parse_next(input)?;
    let team = cut_err(preceded(multispace1, name)).parse_next(input)?;
    let key = cut_err(preceded(multispace1, name)).parse_next(input)?;
    let ran = alt((keyword("ran").value(true), keyword("not-run").value(false)))
        .context(expected("ran or not-run"));
    let ran = cut_err(preceded(multispace1, ran)).parse_next(input)?;
    Ok(Command::Resolve { team, key, ran })
}

fn command(input: &mut &str) -> ModalResult<Command> {
    alt((drain, resolve, change)).parse_next(input)
}

fn parse<T>(sentence: &str, parser: impl FnMut(&mut &str) -> ModalResult<T>) -> Result<T, Error> {
    let trailing_spaces = repeat::<_, _, (), _, _>(0.., ' ');
    let mut complete = delimited(multispace0, parser, trailing_spaces);
    complete.parse(sentence).map_err(|e| {
        let column = sentence[..e.offset()].chars().count() + 1;
        let expected = e.inner().to_string();
        let expected = if expected.is_empty() { "expected nothing more".into() } else { expected };
        Error { sentence: sentence.to_owned(), column, expected }
    })
}

impl std::str::FromStr for Query {
    type Err = Error;

    /// Parses a query.
    ///
    /// ```
    /// use rosemarypond_core::language::{Query, Table};
    /// let query: Query = "show waiting where team = osei order by age desc limit 5".parse()?;
    /// assert_eq!(query.table, Table::Waiting);
    /// # Ok::<(), rosemarypond_core::language::Error>(())
    /// ```
    fn from_str(sentence: &str) -> Result<Self, Error> {
        parse(sentence, query)
    }
}

impl std::str::FromStr for Command {
    type Err = Error;

    /// Parses a command.
    ///
    /// ```
    /// use rosemarypond_core::language::Command;
    /// assert!("drain upstream e1".parse::<Command>().is_ok());
    /// assert!("drain service e1".parse::<Command>().is_err());
    /// ```
    fn from_str(sentence: &str) -> Result<Self, Error> {
        parse(sentence, command)
    }
}
