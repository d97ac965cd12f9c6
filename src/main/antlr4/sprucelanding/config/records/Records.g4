grammar Records;

// Typed records with a syntax like that of CUE: fields with values or constraints, definitions (#Name), unification with &,
// alternatives with |, defaults with *, bounds, lists, comprehensions, references, numbers with units, packages, imports.

file : ('package' label=IDENT)? imports* field* EOF ;

imports : 'import' STRING ;

field : label=(IDENT | DEFINITION | STRING) optional='?'? ':' (nested=field | expr ','?) ;

expr : meet ('|' meet)* ;

meet : unary ('&' unary)* ;

unary
    : '*' unary                              # preferred
    | op=('>=' | '<=' | '>' | '<' | '!=') NUMBER  # bound
    | primary                                # plain
    ;

primary
    : '{' field* '...'? '}'                  # record
    | '[' (element (',' element)* ','?)? ']' # list
    | '[' '...' expr ']'                     # listOf
    | STRING                                 # string
    | NUMBER                                 # number
    | (TRUE | FALSE)                         # truth
    | name=(IDENT | DEFINITION) ('.' (IDENT | DEFINITION))* # reference
    | '(' expr ')'                           # group
    ;

element : clause+ '{' field* '}' | expr ;

clause
    : 'for' IDENT (',' IDENT)? 'in' expr     # each
    | 'if' expr op=('==' | '!=' | '<' | '<=' | '>' | '>=') expr  # where
    ;

TRUE : 'true' ;
FALSE : 'false' ;
NUMBER : '-'? [0-9] [0-9_]* ('.' [0-9]+)? ('ms' | 's' | 'min' | '%' | '/s' | 'k')? ;
IDENT : [a-zA-Z_] [a-zA-Z0-9_]* ;
DEFINITION : '#' [a-zA-Z_] [a-zA-Z0-9_]* ;
STRING : '"' (~["\\\r\n] | '\\' ["\\nt] | '\\(' ~[)"\r\n]* ')')* '"' ;
COMMENT : '//' ~[\r\n]* -> channel(HIDDEN) ;
SPACE : [ \t\r\n]+ -> skip ;
